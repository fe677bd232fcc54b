#include "ibisgw/balancer/Balancer.h"

#include <algorithm>

// Incremental work on the flow table, flow records and hand-over; Balancer.cpp handles the packets.

namespace ibisgw::balancer {

using flow::FlowEntry;

namespace {

// An upstream that restarts is announced to all balancers within this time, so an entry that is older
// than the news by this much belongs to the earlier incarnation.
constexpr core::Duration incarnationLag = std::chrono::seconds(10);
// Time for an answer to arrive after the deadline of its request.
constexpr core::Duration answerMargin = std::chrono::seconds(5);

} // namespace

bool Balancer::isLost(const FlowEntry& entry, const configuration::Service& service, core::TimePoint now) const
{
    const auto* record = m_upstreams.find(entry.upstream());
    if (!record || record->announcement.service != service.name)
        return true;
    return now - entry.idleTime(now) + incarnationLag < record->incarnationSince;
}

core::Duration Balancer::idleLimitOf(const FlowEntry& entry, const configuration::Service& service) const
{
    if (entry.has(FlowEntry::Sticky))
        return m_options.idleLimit;
    if (!entry.has(FlowEntry::Unanswered))
        return m_options.requestIdleLimit;
    // The answer may have passed another balancer, so the flag alone must not keep the entry.
    std::uint32_t deadlineMs = 0;
    for (const auto& it : service.kinds)
        deadlineMs = std::max(deadlineMs, it.deadlineMs);
    return std::max<core::Duration>(m_options.requestIdleLimit, std::chrono::milliseconds(deadlineMs) + answerMargin);
}

flow::FlowTable::Visit Balancer::maintainFlow(FlowEntry& entry, core::TimePoint now)
{
    const auto key = entry.key();
    const auto* service = m_document ? m_document->findService(key.service) : nullptr;
    if (!service || entry.idleTime(now) > idleLimitOf(entry, *service) || isLost(entry, *service, now)) {
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
    // The home may have died before it told of an exception; this balancer knows the flow from its traffic.
    const bool speaksForHome = isHome || m_homes.hasLostHome(entry.key(), now);
    // A record that has given way is not published again, or all records would take turns.
    if (!hasRecord && speaksForHome && !m_records.isFull())
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
    // Flows with a record are handed over too: the record may have given way at the new home.
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
    // The home may have changed since.
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
    // What this balancer has seen itself is newer.
    if (entry && entry->upstream() != handOver.upstream)
        return;
    if (!entry)
        entry = m_flows.insert(handOver.flow, handOver.upstream, now);
    if (!entry)
        return;
    entry->set(FlowEntry::Sticky, handOver.isSticky);
    // Counted even if the home has changed again meanwhile: then the next pass hands the flow over.
    setCounted(*entry, true);
}

} // namespace ibisgw::balancer
