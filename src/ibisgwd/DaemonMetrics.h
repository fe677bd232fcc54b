#pragma once

#include <string>

namespace ibisgwd {

struct DaemonParts;

// Metrics of one daemon in the Prometheus text format.
std::string renderMetrics(const DaemonParts&);

} // namespace ibisgwd
