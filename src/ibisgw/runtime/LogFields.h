#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <string>

namespace ibisgw::adapters {
class MetricsRegistry;
}

namespace ibisgw::upstream {
class InstanceDirectory;
}

namespace ibisgw::runtime {

// Forms of identifiers in log lines, equal in all processes so that lines can be joined.
std::string textOf(upstream::InstanceId);
std::string textOf(const core::FlowKey&);

// Sets the gauges of the upstreams by state.
void countUpstreams(const upstream::InstanceDirectory&, adapters::MetricsRegistry&);

} // namespace ibisgw::runtime
