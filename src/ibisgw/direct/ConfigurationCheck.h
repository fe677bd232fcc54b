#pragma once

#include "ibisgw/core/CheckReport.h"
#include "ibisgw/direct/RouteConfiguration.h"

namespace ibisgw::direct {

// Reports the problems of a configuration or, if it has none, its parts that have no effect or contradict each other
// and its differences from `base`. Pass null for no comparison. Paths have the form of those of findProblems().
core::CheckReport checkConfiguration(const RouteConfiguration&, const RouteConfiguration* base = nullptr);

} // namespace ibisgw::direct
