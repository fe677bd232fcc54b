#pragma once

#include "ibisgw_cli/ExitStatus.h"

namespace ibisgw_cli {

struct Invocation;

// `state verify` checks the data folder of a stopped controller, and `state dump` prints its content. Both work offline
// and change nothing.
ExitStatus runStateVerify(const Invocation&);
ExitStatus runStateDump(const Invocation&);

} // namespace ibisgw_cli
