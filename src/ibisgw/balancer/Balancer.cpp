#include "ibisgw/balancer/Balancer.h"

#include "ibisgw/balancer/Refusal.h"

namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

// A packet visits at most this many balancers before it leaves for its upstream.
constexpr std::uint8_t maxRelayHops = 2;

bool isFromUpstream(PacketType type)
{
    return type == PacketType::Opened || type == PacketType::Answer || type == PacketType::Refusal
        || type == PacketType::Reset;
}

} // namespace

Balancer::Balancer(BalancerOptions options, flow::FlowTokenCodec tokens, core::RandomSource& random)
    : m_options(std::move(options))
    , m_tokens(tokens)
    , m_random(random)
    , m_flows(m_options.flowCapacity)
    , m_admission({ m_options.self, m_options.rules, m_flows, m_tokens, m_homes, m_upstreams, m_counters, random })
{
    m_homes.setBalancers({ m_options.self });
}

void Balancer::applyDocument(std::shared_ptr<const configuration::Document> document, core::TimePoint)
{
    m_document = std::move(document);
}

void Balancer::setPeers(std::vector<core::NodeId> balancers, core::TimePoint now)
{
    const auto previous = m_homes;
    m_homes.setBalancers(std::move(balancers));
    m_admission.homesChanged(previous, now);
}

void Balancer::setPartitioned(bool partitioned, core::TimePoint)
{
    m_admission.setPartitioned(partitioned);
}

void Balancer::handleAnnouncement(const upstream::Announcement& announcement, core::TimePoint now)
{
    m_upstreams.apply(announcement, now);
}

void Balancer::handleRelayedPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    if (isFromUpstream(packet.type))
        handleUpstreamPacket(packet, now, output);
    else
        handlePacketOfCaller(packet, now, output);
}

void Balancer::handleCallerPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    // A caller may not speak for an upstream or for another balancer.
    if (isFromUpstream(packet.type)) {
        ++m_counters.droppedMisdirected;
        return;
    }
    auto received = packet;
    received.relayHops = 0;
    handlePacketOfCaller(received, now, output);
}

void Balancer::handlePacketOfCaller(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto* service = m_document ? m_document->findService(packet.flow.service) : nullptr;
    if (!service) {
        ++m_counters.droppedUnknownService;
        if (packet.type == PacketType::Open)
            refuse(packet, RefusalKind::NotRun, output);
        return;
    }
    if (m_admission.handleCallerPacket(packet, *service, now, output))
        return;
    if (const auto upstream = resolveFlow(packet, *service, now)) {
        m_admission.recordForwarded(packet, *upstream, now, output);
        forward(packet, *upstream, output);
        if (packet.type == PacketType::Close) {
            m_flows.erase(packet.flow);
            placeAdmitted(now, output);
        }
        return;
    }
    if (relayToHome(packet, output) || m_admission.relayToPreviousHome(packet, now, output))
        return;
    if (packet.type != PacketType::Open) {
        rejectUnresolved(packet, output);
    } else if (m_admission.admit(packet, *service, now, output)) {
        placeFlow(packet, *service, now, output);
        m_admission.recordPlacement(packet, now);
    }
}

void Balancer::placeAdmitted(core::TimePoint now, BalancerOutput& output)
{
    while (const auto open = m_admission.takeAdmitted(now, output)) {
        if (const auto* service = m_document->findService(open->flow.service))
            placeFlow(*open, *service, now, output);
        else
            refuse(*open, RefusalKind::NotRun, output);
        m_admission.recordPlacement(*open, now);
    }
}

std::optional<core::UpstreamId> Balancer::resolveFlow(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    if (const auto* entry = m_flows.find(packet.flow, now))
        return entry->upstream;
    if (!packet.token.isPresent())
        return std::nullopt;
    if (m_options.rules.verifyTokens
        && (!m_tokens.verify(packet.flow, packet.token) || !serves(packet.token.upstream, service))) {
        ++m_counters.droppedInvalidToken;
        return std::nullopt;
    }
    ++m_counters.resolvedByToken;
    m_flows.insert(packet.flow, packet.token.upstream, now);
    return packet.token.upstream;
}

bool Balancer::relayToHome(const Packet& packet, BalancerOutput& output)
{
    const auto home = m_homes.homeOf(packet.flow);
    if (!home.isValid() || home == m_options.self || packet.relayHops >= maxRelayHops)
        return false;
    auto relayed = packet;
    ++relayed.relayHops;
    ++m_counters.packetsRelayed;
    output.sendToPeer(home, relayed);
    return true;
}

void Balancer::placeFlow(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    const auto candidates = m_upstreams.eligible(service.name);
    if (candidates.empty()) {
        refuse(packet, RefusalKind::NotRun, output);
        return;
    }
    const auto upstream = candidates[m_random.below(candidates.size())];
    if (!m_flows.insert(packet.flow, upstream, now)) {
        refuse(packet, RefusalKind::NotRun, output);
        return;
    }
    ++m_counters.flowsPlaced;
    forward(packet, upstream, output);
}

void Balancer::handleUpstreamPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto* service = m_document ? m_document->findService(packet.flow.service) : nullptr;
    if (!service || !serves(packet.upstream, *service)) {
        ++m_counters.droppedMisdirected;
        return;
    }
    if (m_admission.handleUpstreamPacket(packet, *service, now, output))
        return;
    const auto* entry = m_flows.find(packet.flow, now);
    if (entry && entry->upstream != packet.upstream && m_options.rules.dropCrossedAnswers) {
        ++m_counters.droppedCrossedAnswers;
        return;
    }
    const bool endsFlow = packet.type == PacketType::Close || packet.type == PacketType::Reset;
    if (endsFlow)
        m_flows.erase(packet.flow);
    else if (!entry)
        m_flows.insert(packet.flow, packet.upstream, now);
    auto forwarded = packet;
    forwarded.token = m_tokens.issue(packet.flow, packet.upstream);
    ++m_counters.packetsToCallers;
    output.sendToCaller(forwarded);
}

void Balancer::tick(core::TimePoint now, BalancerOutput& output)
{
    m_upstreams.removeExpired(now);
    m_flows.removeIdle(now, m_options.idleLimit);
    m_admission.tick(now, output);
    placeAdmitted(now, output);
}

void Balancer::forward(const Packet& packet, core::UpstreamId upstream, BalancerOutput& output)
{
    auto forwarded = packet;
    forwarded.upstream = upstream;
    ++m_counters.packetsToUpstreams;
    output.sendToUpstream(upstream, forwarded);
}

void Balancer::refuse(const Packet& packet, RefusalKind kind, BalancerOutput& output)
{
    ++(kind == RefusalKind::NotRun ? m_counters.refusedNotRun : m_counters.refusedOutcomeUnknown);
    output.sendToCaller(makeRefusal(packet, kind));
}

void Balancer::reset(const Packet& packet, BalancerOutput& output)
{
    Packet answer;
    answer.type = PacketType::Reset;
    answer.flow = packet.flow;
    answer.kind = packet.kind;
    ++m_counters.resets;
    output.sendToCaller(answer);
}

void Balancer::rejectUnresolved(const Packet& packet, BalancerOutput& output)
{
    // Another balancer may have forwarded a copy of the request, so its outcome is not known here.
    if (packet.type == PacketType::Request)
        refuse(packet, m_options.rules.requestRefusal(), output);
    else if (packet.type == PacketType::Data)
        reset(packet, output);
}

bool Balancer::serves(core::UpstreamId upstream, const configuration::Service& service) const
{
    const auto* record = m_upstreams.find(upstream);
    return record && record->announcement.service == service.name;
}

} // namespace ibisgw::balancer
