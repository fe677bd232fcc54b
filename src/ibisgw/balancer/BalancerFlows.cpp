#include "ibisgw/balancer/Balancer.h"

#include <algorithm>

// Resolution, placement and maintenance of flows; Balancer.cpp handles the packets.

namespace ibisgw::balancer {

using flow::FlowEntry;
using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

// A packet visits at most this many balancers before it leaves for its upstream.
constexpr std::uint8_t maxRelayHops = 2;
// Flow records that balance may use, as a share of the open flows; the rest of the 4 % is left for
// exceptions that are no choice, such as those of defaults that drain.
constexpr double balanceRecordShare = 0.02;
constexpr double freeBalanceRecords = 64;

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

core::NodeId Balancer::homeOf(std::uint64_t flowHash, const configuration::Service& service)
{
    return m_homes.homeOf(flowHash, placementOf(service).defaults().zoneOf(flowHash));
}

std::optional<core::UpstreamId> Balancer::resolveFlow(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    const auto* entry = m_flows.find(packet.flow, now);
    // The caller's token names the upstream whose `opened` it accepted; after two copies of an open this
    // may be another one than in the table.
    if (packet.token.isPresent() && (!entry || entry->upstream() != packet.token.upstream)) {
        if (const auto upstream = resolveByToken(packet, service, now))
            return upstream;
        entry = m_flows.find(packet.flow, now);
    }
    if (entry && keepsFlows(entry->upstream(), service, now))
        return entry->upstream();
    if (entry)
        dropFlow(packet.flow, now);
    return resolveByRecord(packet, service, now);
}

bool Balancer::keepsFlows(core::UpstreamId upstream, const configuration::Service& service, core::TimePoint now) const
{
    return serves(upstream, service)
        && m_upstreams.drainTime(upstream, now) <= std::chrono::milliseconds(service.drainLimitMs);
}

std::optional<core::UpstreamId> Balancer::resolveByToken(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    if (!keepsFlows(packet.token.upstream, service, now) || !m_tokens.verify(packet.flow, packet.token)) {
        ++m_counters.droppedInvalidToken;
        return std::nullopt;
    }
    ++m_counters.resolvedByToken;
    dropFlow(packet.flow, now);
    learn(packet, packet.token.upstream, service, now);
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
    if (!keepsFlows(upstream, service, now))
        return std::nullopt;
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
    if (!upstream.isValid() || !keepsFlows(upstream, service, now))
        return std::nullopt;
    ++m_counters.resolvedByDefault;
    learn(packet, upstream, service, now);
    return upstream;
}

bool Balancer::relayToHome(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    if (packet.relayHops >= maxRelayHops)
        return false;
    const auto* service = m_document->findService(packet.flow.service);
    auto& defaults = placementOf(*service).defaults();
    const auto hash = packet.flow.hash();
    const auto* zone = defaults.zoneOf(hash);
    auto target = m_homes.homeOf(hash, zone);
    // After a change of the homes the flow may be known only to its earlier home.
    if (target == m_options.self && packet.type != PacketType::Open)
        target = m_homes.previousHomeOf(hash, zone, now);
    if (!target.isValid() || target == m_options.self)
        return false;
    relay(packet, target, now, output);
    return true;
}

void Balancer::relay(const Packet& packet, core::NodeId target, core::TimePoint now, BalancerOutput& output)
{
    if (!m_relayBudget.take(now)) {
        ++m_counters.droppedRelays;
        return;
    }
    auto relayed = packet;
    ++relayed.relayHops;
    ++m_counters.packetsRelayed;
    output.sendToPeer(target, relayed);
}

void Balancer::placeFlow(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    auto& placement = placementOf(service);
    placement.update(now);
    if (const auto* entry = m_flows.find(packet.flow, now)) {
        const auto upstream = entry->upstream();
        // The caller has not got `opened`, so a flow on an upstream that does not answer may move.
        if (serves(upstream, service) && !placement.outliers().isEjected(upstream, now)) {
            forward(packet, upstream, output);
            return;
        }
        dropFlow(packet.flow, now);
    }
    const auto hash = packet.flow.hash();
    const bool sticky = isSticky(packet.kind, service);
    const auto upstream
        = sticky ? placement.placeStream(hash, hasRoomForBalance(placement), now) : placement.placeRequest(hash, now);
    auto* entry = upstream.isValid() ? m_flows.insert(packet.flow, upstream, now) : nullptr;
    if (!entry) {
        refuse(packet, RefusalKind::NotRun, output);
        return;
    }
    entry->set(FlowEntry::Sticky, sticky);
    setCounted(*entry, true);
    if (sticky && placement.defaults().derivedUpstream(hash) != upstream)
        m_records.record(hash, upstream);
    else
        m_records.remove(hash);
    ++m_counters.flowsPlaced;
    placement.outliers().noteForwarded(upstream, now);
    forward(packet, upstream, output);
}

bool Balancer::hasRoomForBalance(ServicePlacement& placement) const
{
    const auto flows = placement.defaults().flowCount() * m_homes.homeCount();
    return static_cast<double>(m_records.size()) < freeBalanceRecords + balanceRecordShare * static_cast<double>(flows);
}

void Balancer::closeFlow(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    const auto upstream = resolveFlow(packet, service, now);
    // An upstream has closed the flow, and another one serves it: not the flow that is meant.
    if (packet.upstream.isValid() && upstream && *upstream != packet.upstream)
        return;
    if (upstream)
        forward(packet, *upstream, output);
    // The home counts the flow and keeps its record.
    if (packet.relayHops < maxRelayHops) {
        const auto home = homeOf(packet.flow.hash(), service);
        if (home.isValid() && home != m_options.self)
            relay(packet, home, now, output);
    }
    dropFlow(packet.flow, now);
}

flow::FlowEntry* Balancer::learn(
    const Packet& packet, core::UpstreamId upstream, const configuration::Service& service, core::TimePoint now)
{
    auto* entry = m_flows.insert(packet.flow, upstream, now);
    if (entry)
        entry->set(FlowEntry::Sticky, isSticky(packet.kind, service));
    return entry;
}

void Balancer::noteForwarded(const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    if (packet.type != PacketType::Request)
        return;
    const auto* kind = service.findKind(packet.kind);
    auto* entry = m_flows.find(packet.flow, now);
    if (entry && kind && !kind->idempotent)
        entry->set(FlowEntry::Unanswered, true);
}

void Balancer::noteAnswer(
    const Packet& packet, FlowEntry* entry, const configuration::Service& service, core::TimePoint now)
{
    auto& placement = placementOf(service);
    placement.outliers().noteAnswer(packet.upstream, now);
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
    if (const auto* service = m_document->findService(key.service))
        dropRecord(*entry, *service);
    setCounted(*entry, false);
    m_flows.erase(key);
}

void Balancer::dropRecord(const FlowEntry& entry, const configuration::Service& service)
{
    const auto hash = entry.key().hash();
    if (homeOf(hash, service) == m_options.self)
        m_records.remove(hash);
}

} // namespace ibisgw::balancer
