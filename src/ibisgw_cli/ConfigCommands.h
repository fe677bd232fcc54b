#pragma once

#include "ibisgw_cli/Invocation.h"

namespace ibisgw_cli {

// Works without a daemon.
ExitStatus runConfigCheck(const Invocation&);
ExitStatus runConfigSubmit(const Invocation&);
ExitStatus runConfigOutcome(const Invocation&);
ExitStatus runConfigShow(const Invocation&);
ExitStatus runConfigHistory(const Invocation&);
ExitStatus runConfigDiff(const Invocation&);

} // namespace ibisgw_cli
