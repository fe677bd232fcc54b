#pragma once

#include "ibisgw_cli/Invocation.h"

namespace ibisgw_cli {

ExitStatus runZoneEvacuate(const Invocation&);
ExitStatus runZoneRestore(const Invocation&);
ExitStatus runZoneList(const Invocation&);

} // namespace ibisgw_cli
