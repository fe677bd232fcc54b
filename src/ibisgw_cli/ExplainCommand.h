#pragma once

#include "ibisgw_cli/ExitStatus.h"

namespace ibisgw_cli {

struct Invocation;

// Prints the log lines about one request, flow or upstream, the newest first, merged from the log files of any number
// of processes.
ExitStatus runExplain(const Invocation&);

} // namespace ibisgw_cli
