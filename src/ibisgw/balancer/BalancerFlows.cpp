#include "ibisgw/balancer/Balancer.h"

#include <algorithm>

// Resolution and placement of flows. The handling of packets is in Balancer.cpp.

namespace ibisgw::balancer {

using flow::FlowEntry;
using packet::Packet;
using packet::PacketType;

namespace {

// Streams are placed away from their default upstream for balance while there are fewer flow records than
// baseBalanceRecords plus this share of the open flows. The rest of the 4 % limit of records is reserved for streams
// that have no other choice, for example because their default upstream is draining.
constexpr double balanceRecordShare = 0.02;
constexpr double baseBalanceRecords = 64;

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
    // The token names the upstream whose `opened` the caller accepted. If two copies of the open were placed, the flow
    // table may have the other upstream.
    const bool isDifferentUpstream = entry && entry->upstream() != packet.token.upstream;
    if (packet.token.isPresent() && (!entry || (isDifferentUpstream && m_options.rules.tokenReplacesEntry))) {
        if (const auto upstream = resolveByToken(packet, service, now))
            return upstream;
        entry = m_flows.find(packet.flow, now);
    }
    if (entry && mayKeepFlows(entry->upstream(), service, now))
        return entry->upstream();
    if (entry)
        dropFlow(packet.flow, now);
    return resolveByRecord(packet, service, now);
}

bool Balancer::mayKeepFlows(core::UpstreamId upstream, const configuration::Service& service, core::TimePoint now) const
{
    return serves(upstream, service)
        && m_upstreams.drainTime(upstream, now) <= std::chrono::milliseconds(service.drainLimitMs);
}

std::optional<core::UpstreamId> Balancer::resolveByToken(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    const bool isValid
        = mayKeepFlows(packet.token.upstream, service, now) && m_tokens.verify(packet.flow, packet.token);
    if (!isValid && m_options.rules.verifyTokens) {
        ++m_counters.droppedInvalidToken;
        return std::nullopt;
    }
    ++m_counters.resolvedByToken;
    auto* existing = m_flows.find(packet.flow, now);
    const bool wasCounted = existing && existing->has(FlowEntry::Counted);
    if (existing) {
        dropRecord(*existing);
        setCounted(*existing, false);
    }
    if (auto* entry = insertFlow(packet, packet.token.upstream, service, now))
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
    if (!mayKeepFlows(upstream, service, now))
        return std::nullopt;
    ++m_counters.resolvedByRecord;
    insertFlow(packet, upstream, service, now);
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
    if (!upstream.isValid() || !mayKeepFlows(upstream, service, now))
        return std::nullopt;
    ++m_counters.resolvedByDefault;
    insertFlow(packet, upstream, service, now);
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
    const auto upstream = sticky ? placement.placeStream(hash, excluded, hasRoomForBalance(placement), now)
                                 : placement.placeRequest(hash, excluded, now);
    if (!upstream.isValid())
        return {};
    if (auto* existing = m_flows.find(open.flow, now))
        setCounted(*existing, false);
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
    insertFlow(open, upstream, service, now);
}

bool Balancer::isEjected(core::UpstreamId upstream, const configuration::Service& service, core::TimePoint now)
{
    return placementOf(service).outliers().isEjected(upstream, now);
}

bool Balancer::isEvacuated(const core::ServiceName& service) const
{
    const auto it = m_placements.find(service);
    return it != m_placements.end() && it->second->isEvacuated();
}

void Balancer::releaseFlow(const core::FlowKey& flow, core::TimePoint now)
{
    auto* entry = m_flows.find(flow, now, flow::FlowTable::Touch::No);
    if (entry && !entry->has(FlowEntry::Sticky))
        setCounted(*entry, false);
}

core::UpstreamId Balancer::selectSecond(
    const core::FlowKey& flow, const configuration::Service& service, core::UpstreamId first, core::TimePoint now)
{
    auto& placement = placementOf(service);
    placement.update(now);
    return placement.placeRequest(flow.hash(), { first }, now);
}

void Balancer::noteSecondStarted(core::UpstreamId upstream, const configuration::Service& service, core::TimePoint now)
{
    placementOf(service).load().noteStarted(upstream);
    placementOf(service).outliers().noteForwarded(upstream, now);
}

void Balancer::noteSecondFinished(core::UpstreamId upstream, const core::ServiceName& service)
{
    if (const auto it = m_placements.find(service); it != m_placements.end())
        it->second->load().noteFinished(upstream);
}

bool Balancer::holdsRefusal(Packet& refusal, core::TimePoint now, BalancerOutput& output)
{
    const auto* service = m_document ? m_document->findService(refusal.flow.service) : nullptr;
    return service && m_hedging.handleReply(refusal, *service, now, output);
}

bool Balancer::hasRoomForBalance(ServicePlacement& placement) const
{
    const auto flows = placement.defaults().flowCount() * m_homes.ring().homeCount();
    return static_cast<double>(m_records.size()) < baseBalanceRecords + balanceRecordShare * static_cast<double>(flows);
}

void Balancer::closeFlow(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    const auto upstream = resolveFlow(packet, service, now);
    const auto knownUpstream = upstream.value_or(m_admission.upstreamOf(packet.flow));
    // The close comes from an upstream that no longer serves the flow. Another upstream has the flow, so it stays open.
    if (packet.upstream.isValid() && knownUpstream.isValid() && knownUpstream != packet.upstream)
        return;
    const bool wasQueued = m_admission.endFlow(packet.flow, now);
    m_hedging.endFlow(packet.flow, output);
    if (knownUpstream.isValid())
        forward(packet, knownUpstream, output);
    // The home is notified, because it counts the flow and publishes its record.
    if (!m_relay.relayToHome(packet, now, output) && !knownUpstream.isValid() && !wasQueued)
        queryPreviousHomes(packet, now, output);
    dropFlow(packet.flow, now);
    placeAdmitted(now, output);
}

flow::FlowEntry* Balancer::insertFlow(
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
    m_hedging.noteForwarded(packet, upstream, service, now, output);
    startDueAttempts(now, output);
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
        placement.defaults().addFlow(entry.upstream());
    else
        placement.defaults().removeFlow(entry.upstream());
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

} // namespace ibisgw::balancer
