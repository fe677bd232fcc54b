#pragma once

#include "ibisgw_cli/ExitStatus.h"

namespace ibisgw_cli {

struct Invocation;

// Prints the decisions that touched one request, flow or upstream, from the logs of any number of processes.
ExitStatus runExplain(const Invocation&);

} // namespace ibisgw_cli
