#include "ibisgw/balancer/Balancer.h"

#include <algorithm>

// Incremental scan of the flow table, flow records and hand-over of flows. The handling of packets is in Balancer.cpp.

namespace ibisgw::balancer {

using flow::FlowEntry;

namespace {

// The announcement of a restarted upstream reaches all balancers within this time. A flow whose last packet precedes
// the announcement by more than this belongs to the earlier incarnation.
constexpr core::Duration maxAnnouncementDelay = std::chrono::seconds(10);
// Time allowed for an answer to arrive after the deadline of its request.
constexpr core::Duration answerDeliveryMargin = std::chrono::seconds(5);
// A scan of the whole flow table is spread over this many ticks (10 s at 50 ms), so that no tick delays packets.
constexpr std::size_t ticksPerTableScan = 200;

} // namespace

void Balancer::tick(core::TimePoint now, BalancerOutput& output)
{
    m_upstreams.removeExpired(now);
    for (auto& [service, placement] : m_placements)
        placement->update(now);
    m_flows.scan(m_flows.bucketCount() / ticksPerTableScan + 1,
        [&](flow::FlowEntry& entry) { return maintainFlow(entry, now); });
    m_previousHomeQueries.tick(now);
    for (const auto& it : m_previousHomeQueries.takeTimedOut(now)) {
        const auto* service = m_document ? m_document->findService(it.packet.flow.service) : nullptr;
        if (service && serves(it.packet.upstream, *service))
            forwardToCaller(it.packet, *service, now, output);
    }
    if (m_knownUpstreamChanges != m_upstreams.changeCount()) {
        m_knownUpstreamChanges = m_upstreams.changeCount();
        m_hedging.upstreamsChanged(now);
    }
    m_admission.tick(now, output);
    m_hedging.tick(now, output);
    startDueAttempts(now, output);
    placeAdmitted(now, output);
    std::size_t streams = 0;
    for (auto& [service, placement] : m_placements)
        streams += placement->defaults().flowCount();
    // This balancer counts only the flows whose home it is. Each home has about the same number of them.
    const auto recordLimit = static_cast<double>(streams * m_homes.ring().homeCount()) * maxRecordShare;
    m_records.setLimit(static_cast<std::size_t>(recordLimit));
}

void Balancer::startDueAttempts(core::TimePoint now, BalancerOutput& output)
{
    if (m_document)
        m_hedging.startDueAttempts(*m_document, now, output);
}

bool Balancer::isUpstreamLost(const FlowEntry& entry, const configuration::Service& service, core::TimePoint now) const
{
    const auto* record = m_upstreams.find(entry.upstream());
    if (!record || record->announcement.service != service.name)
        return true;
    return now - entry.idleTime(now) + maxAnnouncementDelay < record->incarnationSince;
}

core::Duration Balancer::idleLimitOf(const FlowEntry& entry, const configuration::Service& service) const
{
    if (entry.has(FlowEntry::Sticky))
        return m_options.idleLimit;
    if (!entry.has(FlowEntry::Unanswered))
        return m_options.requestIdleLimit;
    // The answer may have been forwarded by another balancer, so an unanswered request keeps the entry only for the
    // longest deadline of the service's kinds.
    std::uint32_t deadlineMs = 0;
    for (const auto& it : service.kinds)
        deadlineMs = std::max(deadlineMs, it.deadlineMs);
    return std::max<core::Duration>(
        m_options.requestIdleLimit, std::chrono::milliseconds(deadlineMs) + answerDeliveryMargin);
}

flow::FlowTable::Visit Balancer::maintainFlow(FlowEntry& entry, core::TimePoint now)
{
    const auto key = entry.key();
    const auto* service = m_document ? m_document->findService(key.service) : nullptr;
    if (!service || entry.idleTime(now) > idleLimitOf(entry, *service) || isUpstreamLost(entry, *service, now)) {
        setCounted(entry, false);
        dropRecord(entry);
        m_admission.releaseFlow(key, now);
        return flow::FlowTable::Visit::Erase;
    }
    const bool isHome = m_homes.isHome(key);
    if (entry.has(FlowEntry::Counted) && !isHome) {
        handOverIfNeeded(entry, *service);
        setCounted(entry, false);
    }
    if (entry.has(FlowEntry::Sticky)) {
        setCounted(entry, isHome);
        recordIfNeeded(entry, placementOf(*service), isHome, now);
    }
    return flow::FlowTable::Visit::Keep;
}

void Balancer::recordIfNeeded(const FlowEntry& entry, ServicePlacement& placement, bool isHome, core::TimePoint now)
{
    const auto hash = entry.key().hash();
    const bool isDerived = placement.defaults().derivedUpstream(hash) == entry.upstream();
    const bool hasRecord = m_records.find(hash) == entry.upstream();
    if (isDerived) {
        if (hasRecord && isHome && placement.defaults().versionCount() == 1)
            m_records.remove(hash);
        return;
    }
    // A previous home that has stopped may not have published its record, so any balancer with an entry of the flow may
    // publish one.
    const bool mayPublish = isHome || m_homes.hasStoppedPreviousHome(entry.key(), now);
    // When the log is full, an evicted record isn't published again: it would evict another one in turn.
    if (!hasRecord && mayPublish && !m_records.isFull())
        m_records.record(hash, entry.upstream());
}

void Balancer::applyFlowRecord(const flow::FlowRecord& record, core::TimePoint)
{
    m_records.apply(record);
}

std::vector<flow::FlowRecord> Balancer::takeFlowRecords(std::size_t maxCount)
{
    return m_records.takeOutgoing(maxCount);
}

void Balancer::adoptFlowRecords(
    const std::vector<flow::FlowRecord>& records, const std::map<core::NodeId, std::uint64_t>& heads)
{
    for (const auto& it : records)
        m_records.apply(it);
    m_records.setHeads(heads);
}

void Balancer::handOver(core::TimePoint)
{
    m_flows.forEach([&](const FlowEntry& entry) {
        const auto* service = m_document ? m_document->findService(entry.key().service) : nullptr;
        if (service && entry.has(FlowEntry::Counted))
            handOverIfNeeded(entry, *service);
    });
}

void Balancer::handOverIfNeeded(const FlowEntry& entry, const configuration::Service& service)
{
    const auto key = entry.key();
    const auto hash = key.hash();
    const bool isSticky = entry.has(FlowEntry::Sticky);
    // Flows with a record are handed over too, because the new home may have evicted the record.
    if (isSticky && placementOf(service).defaults().derivedUpstream(hash) == entry.upstream())
        return;
    const auto home = m_homes.homeOf(key);
    if (home.isValid() && home != m_options.self)
        m_handOvers.push_back({ home, key, entry.upstream(), isSticky });
}

std::vector<flow::FlowHandOver> Balancer::takeHandOvers(std::size_t maxCount)
{
    const auto end = m_handOvers.begin() + static_cast<std::ptrdiff_t>(std::min(maxCount, m_handOvers.size()));
    std::vector<flow::FlowHandOver> taken(m_handOvers.begin(), end);
    m_handOvers.erase(m_handOvers.begin(), end);
    // The home may have changed since the flow was queued.
    for (auto& it : taken)
        it.target = m_homes.homeOf(it.flow);
    return taken;
}

void Balancer::adoptFlow(const flow::FlowHandOver& handOver, core::TimePoint now)
{
    const auto* service = m_document ? m_document->findService(handOver.flow.service) : nullptr;
    if (!service || !serves(handOver.upstream, *service)) {
        ++m_counters.droppedInvalidRecord;
        return;
    }
    auto* entry = m_flows.find(handOver.flow, now, flow::FlowTable::Touch::No);
    // An entry of this balancer is newer than the hand-over.
    if (entry && entry->upstream() != handOver.upstream)
        return;
    if (!entry)
        entry = m_flows.insert(handOver.flow, handOver.upstream, now);
    if (!entry)
        return;
    entry->set(FlowEntry::Sticky, handOver.isSticky);
    // The flow is counted even if its home has changed again in the meantime; the next scan then hands it over.
    setCounted(*entry, true);
}

} // namespace ibisgw::balancer
