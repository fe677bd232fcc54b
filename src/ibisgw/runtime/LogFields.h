#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/upstream/InstanceReport.h"
#include "ibisgw/upstream/ZoneEvacuations.h"

#include <nlohmann/json_fwd.hpp>

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

// Fields of the event that a process follows another set of evacuated zones.
nlohmann::json fieldsOf(const upstream::ZoneEvacuations&);

// Sets the gauges that count the upstreams by state.
void updateUpstreamGauges(const upstream::InstanceDirectory&, adapters::MetricsRegistry&);

// Sets the gauges of the evacuated zones in force.
void updateEvacuationGauges(const upstream::ZoneEvacuations&, adapters::MetricsRegistry&);

// Sets the counter of the permits for flows to cold upstreams with the given outcome.
void updatePermitCounter(adapters::MetricsRegistry&, const std::string& outcome, std::uint64_t permits);

} // namespace ibisgw::runtime
