#pragma once

#include "ibisgw_cli/ExitStatus.h"

namespace ibisgw_cli {

struct Invocation;

// Both print the content of the data folder of a stopped controller as JSON; they work offline and change nothing.
ExitStatus runStateVerify(const Invocation&);
ExitStatus runStateDump(const Invocation&);

} // namespace ibisgw_cli
