#include "ibisgw/balancer/Balancer.h"

// Queries of operators about flows.

namespace ibisgw::balancer {

using flow::FlowEntry;

std::map<std::pair<core::ServiceName, core::UpstreamId>, std::uint64_t> Balancer::flowCounts() const
{
    std::map<std::pair<core::ServiceName, core::UpstreamId>, std::uint64_t> counts;
    m_flows.forEach([&](const FlowEntry& entry) {
        const auto* service = m_document ? m_document->findService(entry.key().service) : nullptr;
        if (service)
            ++counts[{ service->name, entry.upstream() }];
    });
    return counts;
}

std::optional<FlowLocation> Balancer::locate(const core::FlowKey& key, core::TimePoint now)
{
    const auto* service = m_document ? m_document->findService(key.service) : nullptr;
    if (!service)
        return std::nullopt;
    if (const auto* entry = m_flows.find(key, now, flow::FlowTable::Touch::No))
        return FlowLocation { service->name, entry->upstream(), "table" };
    if (const auto upstream = m_records.find(key.hash()); upstream.isValid())
        return FlowLocation { service->name, upstream, "record" };
    return std::nullopt;
}

} // namespace ibisgw::balancer
