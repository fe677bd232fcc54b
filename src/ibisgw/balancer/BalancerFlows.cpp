#include "ibisgw/balancer/Balancer.h"

#include <algorithm>

// Resolution, placement and maintenance of flows; Balancer.cpp handles the packets.

namespace ibisgw::balancer {

using flow::FlowEntry;
using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

// An upstream that restarts is announced to all balancers within this time, so an entry that is older
// than the news by this much belongs to the earlier incarnation.
constexpr core::Duration incarnationLag = std::chrono::seconds(10);
// Time for an answer to arrive after the deadline of its request.
constexpr core::Duration answerMargin = std::chrono::seconds(5);

bool isSticky(core::KindId kind, const configuration::Service& service)
{
    const auto* it = service.findKind(kind);
    return it && it->placement == configuration::Placement::Sticky;
}

} // namespace

ServicePlacement& Balancer::placementOf(const configuration::Service& service)
{
    auto& placement = m_placements[service.name];
    if (!placement)
        placement = std::make_unique<ServicePlacement>(service.name, m_upstreams, m_options.makeSelector, m_random);
    return *placement;
}

const core::ZoneName* Balancer::zoneOf(const core::FlowKey& flow)
{
    const auto* service = m_document ? m_document->findService(flow.service) : nullptr;
    return service ? placementOf(*service).defaults().zoneOf(flow.hash()) : nullptr;
}

std::optional<core::UpstreamId> Balancer::resolveFlow(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    const auto* entry = m_flows.find(packet.flow, now);
    // The caller's token names the upstream whose `opened` it accepted; after two copies of an open this
    // may be another one than in the table.
    const bool differs = entry && entry->upstream() != packet.token.upstream;
    if (packet.token.isPresent() && (!entry || (differs && m_options.rules.tokenReplacesEntry))) {
        if (const auto upstream = resolveByToken(packet, service, now))
            return upstream;
        entry = m_flows.find(packet.flow, now);
    }
    if (entry && serves(entry->upstream(), service))
        return entry->upstream();
    if (entry)
        dropFlow(packet.flow, now);
    return resolveByRecord(packet, service, now);
}

std::optional<core::UpstreamId> Balancer::resolveByToken(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    if (!serves(packet.token.upstream, service) || !m_tokens.verify(packet.flow, packet.token)) {
        ++m_counters.droppedInvalidToken;
        return std::nullopt;
    }
    ++m_counters.resolvedByToken;
    auto* held = m_flows.find(packet.flow, now);
    const bool wasCounted = held && held->has(FlowEntry::Counted);
    if (held) {
        dropRecord(*held);
        setCounted(*held, false);
    }
    if (auto* entry = learn(packet, packet.token.upstream, service, now))
        setCounted(*entry, wasCounted);
    return packet.token.upstream;
}

std::optional<core::UpstreamId> Balancer::resolveByRecord(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    const auto upstream = m_records.find(packet.flow.hash());
    if (!upstream.isValid())
        return std::nullopt;
    if (!serves(upstream, service)) {
        ++m_counters.droppedInvalidRecord;
        return std::nullopt;
    }
    ++m_counters.resolvedByRecord;
    learn(packet, upstream, service, now);
    return upstream;
}

std::optional<core::UpstreamId> Balancer::resolveByDefault(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    const auto* kind = service.findKind(packet.kind);
    if (!kind || kind->placement != configuration::Placement::Sticky)
        return std::nullopt;
    if (packet.type == PacketType::Request && !kind->idempotent)
        return std::nullopt;
    const auto upstream = placementOf(service).defaults().useDerivedUpstream(packet.flow.hash());
    if (!upstream.isValid() || !serves(upstream, service))
        return std::nullopt;
    ++m_counters.resolvedByDefault;
    learn(packet, upstream, service, now);
    return upstream;
}

core::UpstreamId Balancer::upstreamOf(const core::FlowKey& flow, core::TimePoint now)
{
    const auto* entry = m_flows.find(flow, now, flow::FlowTable::Touch::No);
    return entry ? entry->upstream() : core::UpstreamId {};
}

core::UpstreamId Balancer::placeFlow(const Packet& open, const configuration::Service& service,
    const std::vector<core::UpstreamId>& excluded, core::TimePoint now)
{
    auto& placement = placementOf(service);
    placement.update(now);
    const auto hash = open.flow.hash();
    const bool sticky = isSticky(open.kind, service);
    const auto upstream
        = sticky ? placement.placeStream(hash, excluded, now) : placement.placeRequest(hash, excluded, now);
    if (!upstream.isValid())
        return {};
    if (auto* held = m_flows.find(open.flow, now))
        setCounted(*held, false);
    auto* entry = m_flows.insert(open.flow, upstream, now);
    if (!entry)
        return {};
    entry->set(FlowEntry::Sticky, sticky);
    setCounted(*entry, true);
    if (sticky && placement.defaults().derivedUpstream(hash) != upstream)
        m_records.record(hash, upstream);
    else
        m_records.remove(hash);
    placement.outliers().noteForwarded(upstream, now);
    return upstream;
}

void Balancer::restoreFlow(
    const Packet& open, core::UpstreamId upstream, const configuration::Service& service, core::TimePoint now)
{
    learn(open, upstream, service, now);
}

bool Balancer::isEjected(core::UpstreamId upstream, const configuration::Service& service, core::TimePoint now)
{
    return placementOf(service).outliers().isEjected(upstream, now);
}

void Balancer::releaseFlow(const core::FlowKey& flow, core::TimePoint now)
{
    auto* entry = m_flows.find(flow, now, flow::FlowTable::Touch::No);
    if (entry && !entry->has(FlowEntry::Sticky))
        setCounted(*entry, false);
}

void Balancer::closeFlow(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    const auto upstream = resolveFlow(packet, service, now);
    const auto known = upstream.value_or(m_admission.upstreamOf(packet.flow));
    // An upstream has closed the flow, and another one serves it: not the flow that is meant.
    if (packet.upstream.isValid() && known.isValid() && known != packet.upstream)
        return;
    const bool wasQueued = m_admission.endFlow(packet.flow, now);
    if (known.isValid())
        forward(packet, known, output);
    // The home counts the flow and keeps its record.
    if (!m_relay.relayToHome(packet, now, output) && !known.isValid() && !wasQueued)
        askPreviousHomes(packet, now, output);
    dropFlow(packet.flow, now);
    placeAdmitted(now, output);
}

flow::FlowEntry* Balancer::learn(
    const Packet& packet, core::UpstreamId upstream, const configuration::Service& service, core::TimePoint now)
{
    auto* entry = m_flows.insert(packet.flow, upstream, now);
    if (entry)
        entry->set(FlowEntry::Sticky, isSticky(packet.kind, service));
    return entry;
}

void Balancer::forwardKnown(const Packet& packet, core::UpstreamId upstream, const configuration::Service& service,
    core::TimePoint now, BalancerOutput& output)
{
    if (packet.type == PacketType::Request) {
        m_admission.recordForwarded(packet, upstream, now);
        const auto* kind = service.findKind(packet.kind);
        auto* entry = m_flows.find(packet.flow, now);
        if (entry && kind && !kind->idempotent)
            entry->set(FlowEntry::Unanswered, true);
    }
    forward(packet, upstream, output);
}

void Balancer::noteAnswer(
    const Packet& packet, FlowEntry* entry, const configuration::Service& service, core::TimePoint now)
{
    auto& placement = placementOf(service);
    if (packet.type != PacketType::Answer && packet.type != PacketType::Refusal)
        return;
    placement.selector().noteAnswer(packet.upstream, now);
    if (!entry)
        return;
    entry->set(FlowEntry::Unanswered, false);
    if (!entry->has(FlowEntry::Sticky))
        setCounted(*entry, false);
}

void Balancer::setCounted(FlowEntry& entry, bool counted)
{
    if (entry.has(FlowEntry::Counted) == counted)
        return;
    const auto key = entry.key();
    const auto* service = m_document ? m_document->findService(key.service) : nullptr;
    entry.set(FlowEntry::Counted, counted);
    if (!service)
        return;
    auto& placement = placementOf(*service);
    if (!entry.has(FlowEntry::Sticky))
        counted ? placement.load().noteStarted(entry.upstream()) : placement.load().noteFinished(entry.upstream());
    else if (counted)
        placement.defaults().addFlow(key.hash(), entry.upstream());
    else
        placement.defaults().removeFlow(key.hash(), entry.upstream());
}

void Balancer::dropFlow(const core::FlowKey& key, core::TimePoint now)
{
    auto* entry = m_flows.find(key, now);
    if (!entry)
        return;
    dropRecord(*entry);
    setCounted(*entry, false);
    m_flows.erase(key);
    m_admission.releaseFlow(key, now);
}

void Balancer::dropRecord(const FlowEntry& entry)
{
    const auto key = entry.key();
    if (m_homes.isHome(key))
        m_records.remove(key.hash());
}

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
    return std::max(m_options.requestIdleLimit, std::chrono::milliseconds(deadlineMs) + answerMargin);
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
    if (!entry.has(FlowEntry::Sticky))
        return flow::FlowTable::Visit::Keep;
    const bool isHome = m_homes.isHome(key);
    setCounted(entry, isHome);
    recordIfNeeded(entry, placementOf(*service), isHome, now);
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
    if (!hasRecord && speaksForHome)
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
        const auto key = entry.key();
        const auto* service = m_document ? m_document->findService(key.service) : nullptr;
        if (!service || !entry.has(FlowEntry::Counted))
            return;
        const bool isDerived = entry.has(FlowEntry::Sticky)
            && placementOf(*service).defaults().derivedUpstream(key.hash()) == entry.upstream();
        if (!isDerived)
            m_records.record(key.hash(), entry.upstream());
    });
}

} // namespace ibisgw::balancer
