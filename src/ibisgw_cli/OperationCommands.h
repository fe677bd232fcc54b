#pragma once

#include "ibisgw_cli/Invocation.h"

namespace ibisgw_cli {

ExitStatus runStatus(const Invocation&);
ExitStatus runUpstreams(const Invocation&);
ExitStatus runFlows(const Invocation&);
ExitStatus runDrainUpstream(const Invocation&);
ExitStatus runDrainBalancer(const Invocation&);
ExitStatus runTrace(const Invocation&);

} // namespace ibisgw_cli
