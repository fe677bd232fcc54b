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

// Format identifiers for log lines. All processes use the same format, so that lines of several processes can be
// joined.
std::string textOf(upstream::InstanceId);
std::string textOf(const core::FlowKey&);

// Sets the gauges that count the upstreams by state.
void updateUpstreamGauges(const upstream::InstanceDirectory&, adapters::MetricsRegistry&);

} // namespace ibisgw::runtime
