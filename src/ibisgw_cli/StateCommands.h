#pragma once

#include "ibisgw_cli/ExitStatus.h"

namespace ibisgw_cli {

struct Invocation;

// Read the data folder of a controller that is not running; both work off line and change nothing.
ExitStatus runStateVerify(const Invocation&);
ExitStatus runStateDump(const Invocation&);

} // namespace ibisgw_cli
