#include "ibisgw/runtime/LogFields.h"

#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <array>
#include <charconv>
#include <nlohmann/json.hpp>

namespace ibisgw::runtime {

std::string textOf(upstream::InstanceId id)
{
    std::array<char, 17> buf {};
    const auto [end, ec] = std::to_chars(buf.data(), buf.data() + buf.size(), id.value, 16);
    return { buf.data(), end };
}

std::string textOf(const core::FlowKey& flow)
{
    return flow.caller.toString() + ">" + flow.service.toString();
}

nlohmann::json fieldsOf(const upstream::ZoneEvacuations& evacuations)
{
    return { { "revision", evacuations.revision }, { "zones", evacuations.zones } };
}

void updateEvacuationGauges(const upstream::ZoneEvacuations& evacuations, adapters::MetricsRegistry& metrics)
{
    metrics.gauge("ibisgw_evacuated_zones", "Zones whose upstreams get no new flows, by order of an operator")
        = static_cast<double>(evacuations.zones.size());
    metrics.gauge("ibisgw_evacuation_revision", "Revision of the evacuated zones in force")
        = static_cast<double>(evacuations.revision);
}

void updateUpstreamGauges(const upstream::InstanceDirectory& directory, adapters::MetricsRegistry& metrics)
{
    const auto gauge = [&metrics](std::string_view state) -> double& {
        return metrics.gauge("ibisgw_upstreams", "Upstreams by state", { { "state", std::string(state) } });
    };
    using upstream::InstanceState;
    for (const auto state : { InstanceState::Ready, InstanceState::Draining, InstanceState::Gone })
        gauge(nameOf(state)) = 0;
    gauge("overdue") = 0;
    for (const auto& [id, record] : directory.records()) {
        gauge(nameOf(record.report.state)) += 1;
        gauge("overdue") += record.isOverdue ? 1 : 0;
    }
}

void updatePermitCounter(adapters::MetricsRegistry& metrics, const std::string& outcome, std::uint64_t permits)
{
    metrics.counter(
        "ibisgw_cold_start_permits_total", "Permits for new flows to cold upstreams", { { "outcome", outcome } })
        = permits;
}

} // namespace ibisgw::runtime
