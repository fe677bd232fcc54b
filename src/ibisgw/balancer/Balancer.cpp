#include "ibisgw/balancer/Balancer.h"

#include "ibisgw/balancer/Refusal.h"
#include "ibisgw/upstream/LeastInFlightSelector.h"

namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

// Callers don't open a new flow from the same port before this time has passed since the end of the last one.
constexpr core::Duration portReuseDelay = std::chrono::seconds(1);

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
    , m_records(m_options.self, m_options.firstRecordSequence,
          static_cast<std::size_t>(maxRecordShare * static_cast<double>(m_options.flowCapacity)))
    , m_homes({ m_options.self, m_options.zone }, [this](const auto& flow) { return zoneOf(flow); })
    , m_relay(m_homes, { m_options.relaysPerSecond, m_options.relaysPerSecond }, m_counters)
    , m_previousHomeQueries(m_homes, m_relay)
    , m_admission({ m_options.rules, m_homes, m_upstreams, m_relay, m_counters, *this })
    , m_hedging(
          { m_homes, m_upstreams, m_tokens, m_relay, m_counters, *this, m_admission }, m_options.firstRecordSequence)
{
    if (!m_options.makeSelector) {
        m_options.makeSelector = [](const auto& load, auto& source) {
            return std::make_unique<upstream::LeastInFlightSelector>(load, source);
        };
    }
    m_flows.onEviction([this](const flow::FlowEntry& entry, core::TimePoint now) {
        auto evicted = entry;
        setCounted(evicted, false);
        m_admission.releaseFlow(evicted.key(), now);
    });
}

Balancer::~Balancer() = default;

void Balancer::applyDocument(std::shared_ptr<const configuration::Document> document, core::TimePoint now)
{
    m_document = std::move(document);
    std::set<core::UpstreamId> drained;
    for (const auto& service : m_document->services) {
        for (const auto& it : service.drainedUpstreams)
            drained.insert(core::UpstreamId::fromEndpoint(it));
    }
    m_upstreams.setDrained(std::move(drained));
    m_upstreams.setEvacuatedZones({ m_document->evacuatedZones.begin(), m_document->evacuatedZones.end() });
    for (const auto& it : m_document->services)
        placementOf(it).update(now);
}

void Balancer::setPeers(const std::vector<core::NodeId>& balancers, core::TimePoint now)
{
    std::vector<flow::RingMember> members;
    members.reserve(balancers.size());
    for (const auto& it : balancers)
        members.push_back({ it, m_options.zone });
    setPeers(std::move(members), now);
}

void Balancer::setPeers(std::vector<flow::RingMember> members, core::TimePoint now)
{
    m_homes.setMembers(std::move(members), now);
    m_previousHomeQueries.homesChanged();
    m_admission.homesChanged();
    m_hedging.homesChanged();
}

void Balancer::setPartitioned(bool partitioned, core::TimePoint)
{
    m_admission.setPartitioned(partitioned);
    m_hedging.setPartitioned(partitioned);
}

void Balancer::handleAnnouncement(const upstream::Announcement& announcement, core::TimePoint now)
{
    if (!m_upstreams.apply(announcement, now))
        return;
    if (const auto it = m_placements.find(announcement.service); it != m_placements.end())
        it->second->load().noteReport(announcement, now);
}

void Balancer::handleRelayedPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    if (m_previousHomeQueries.handleRejection(packet))
        return;
    if (RequestHedging::isReport(packet)) {
        handleReport(packet, now, output);
        return;
    }
    if (isFromUpstream(packet.type))
        handleUpstreamPacket(packet, now, output);
    else
        dispatchCallerPacket(packet, now, output);
}

void Balancer::handleReport(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto* service = m_document ? m_document->findService(packet.flow.service) : nullptr;
    if (!service || m_hedging.handleReport(packet, *service, now, output))
        return;
    // A refusal of the upstream, or of the balancer that has found that the upstream is gone. It doesn't enter the flow
    // into the flow table: a new home would then take a previous upstream for that of the flow.
    const auto upstream = upstreamOf(packet.flow, now);
    if (packet.upstream.isValid() && upstream.isValid() && upstream != packet.upstream) {
        ++m_counters.droppedCrossedAnswers;
        return;
    }
    auto refusal = packet;
    if (m_hedging.handleReply(refusal, *service, now, output))
        return;
    refusal.relayHops = 0;
    if (packet.upstream.isValid())
        refusal.token = m_tokens.issue(packet.flow, packet.upstream);
    ++m_counters.packetsToCallers;
    output.sendToCaller(refusal);
}

void Balancer::handleCallerPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    // Packets of upstreams are not accepted from callers. Fields that only balancers set are cleared below.
    if (isFromUpstream(packet.type)) {
        ++m_counters.droppedMisdirected;
        return;
    }
    auto received = packet;
    received.relayHops = 0;
    received.upstream = {};
    dispatchCallerPacket(received, now, output);
}

void Balancer::dispatchCallerPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto* service = m_document ? m_document->findService(packet.flow.service) : nullptr;
    if (!service) {
        ++m_counters.droppedUnknownService;
        if (packet.type == PacketType::Open)
            refuse(packet, RefusalKind::NotRun, output);
        return;
    }
    if (packet.type == PacketType::Open) {
        handleOpen(packet, *service, now, output);
        return;
    }
    if (packet.type == PacketType::Close) {
        closeFlow(packet, *service, now, output);
        return;
    }
    if (packet.type == PacketType::Cancel) {
        m_admission.handleCancel(packet, now);
        m_hedging.handleCancel(packet, *service, now, output);
    }
    if (const auto upstream = resolveFlow(packet, *service, now)) {
        forwardKnown(packet, *upstream, *service, now, output);
        return;
    }
    if (m_relay.relayToHome(packet, now, output) || queryPreviousHomes(packet, now, output))
        return;
    if (const auto upstream = resolveByDefault(packet, *service, now))
        forwardKnown(packet, *upstream, *service, now, output);
    else
        rejectUnresolved(packet, output);
}

void Balancer::handleOpen(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    if (m_admission.handleOpenCopy(packet, service, now, output))
        return;
    // An open is relayed to its home even if the flow table has an entry: it may belong to an earlier flow of the
    // caller.
    if (!m_admission.hasOpenRecord(packet.flow) && m_relay.relayToHome(packet, now, output))
        return;
    if (const auto upstream = resolveOpen(packet, service, now)) {
        forward(packet, *upstream, output);
        return;
    }
    if (queryPreviousHomes(packet, now, output))
        return;
    if (m_admission.admit(packet, service, now, output))
        placeOpen(packet, service, now, output);
}

std::optional<core::UpstreamId> Balancer::resolveOpen(
    const Packet& packet, const configuration::Service& service, core::TimePoint now)
{
    auto* entry = m_flows.find(packet.flow, now, flow::FlowTable::Touch::No);
    if (!entry)
        return std::nullopt;
    const bool mustReplace = !m_admission.hasOpenRecord(packet.flow) && mustReplaceEntry(*entry, service, now);
    if (!serves(entry->upstream(), service) || mustReplace) {
        dropFlow(packet.flow, now);
        return std::nullopt;
    }
    entry->touch(now);
    return entry->upstream();
}

bool Balancer::mustReplaceEntry(
    const flow::FlowEntry& entry, const configuration::Service& service, core::TimePoint now)
{
    // This may be a late copy of the open of a flow in use, whose caller has received `opened` and sent requests. After
    // portReuseDelay without a packet it may be the open of a new flow, which must not go to an ejected upstream. An
    // evacuation must not move a flow in use, so there the entry is replaced only when no copy can be that late.
    const auto idleTime = entry.idleTime(now);
    if (idleTime > request::maxOpenDelay && m_upstreams.isEvacuated(entry.upstream()))
        return true;
    return idleTime > portReuseDelay && isEjected(entry.upstream(), service, now);
}

void Balancer::placeOpen(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    const auto upstream = placeFlow(packet, service, {}, now);
    if (upstream.isValid()) {
        ++m_counters.flowsPlaced;
        forward(packet, upstream, output);
    } else {
        refuse(packet, RefusalKind::NotRun, output);
    }
    m_admission.recordPlacement(packet, upstream, now);
}

void Balancer::placeAdmitted(core::TimePoint now, BalancerOutput& output)
{
    while (const auto open = m_admission.takeAdmitted(now, output)) {
        if (const auto* service = m_document->findService(open->flow.service)) {
            placeOpen(*open, *service, now, output);
        } else {
            refuse(*open, RefusalKind::NotRun, output);
            m_admission.recordPlacement(*open, {}, now);
        }
    }
}

bool Balancer::queryPreviousHomes(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    return m_options.rules.queryPreviousHomes && m_previousHomeQueries.relay(packet, now, output);
}

void Balancer::handleUpstreamPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto* service = m_document ? m_document->findService(packet.flow.service) : nullptr;
    if (!service || !serves(packet.upstream, *service)) {
        ++m_counters.droppedMisdirected;
        return;
    }
    placementOf(*service).outliers().noteAnswer(packet.upstream, now);
    if (m_hedging.handleSecondUpstream(packet, now, output))
        return;
    dropStaleEntry(packet, now);
    const bool isOpened = packet.type == PacketType::Opened;
    const bool isQuery = isOpened && PreviousHomeQueries::isQuery(packet);
    const bool isKnown = isOpened
        && (m_admission.hasOpenRecord(packet.flow) || m_flows.find(packet.flow, now, flow::FlowTable::Touch::No));
    const bool isHandled = m_admission.handleUpstreamPacket(packet, *service, now, output);
    if (isQuery && isKnown && m_previousHomeQueries.replyToOpened(packet, !isHandled, now, output))
        return;
    // A previous home may have moved the flow to another upstream since it placed the flow.
    if (isHandled || (isOpened && !isKnown && queryPreviousHomes(packet, now, output)))
        return;
    forwardToCaller(packet, *service, now, output);
}

void Balancer::forwardToCaller(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    auto* entry = m_flows.find(packet.flow, now, flow::FlowTable::Touch::No);
    if (entry && entry->upstream() != packet.upstream && m_options.rules.dropCrossedAnswers) {
        ++m_counters.droppedCrossedAnswers;
        return;
    }
    if (packet.type == PacketType::Close || packet.type == PacketType::Reset) {
        // The home is notified, because it counts the flow and publishes its record.
        auto close = packet;
        close.type = PacketType::Close;
        if (!m_relay.relayToHome(close, now, output)) {
            m_admission.endFlow(packet.flow, now);
            m_hedging.endFlow(packet.flow, output);
        }
        dropFlow(packet.flow, now);
        placeAdmitted(now, output);
    } else {
        if (!entry)
            entry = insertFlow(packet, packet.upstream, service, now);
        else
            entry->touch(now);
        noteAnswer(packet, entry, service, now);
    }
    auto forwarded = packet;
    if (m_hedging.handleReply(forwarded, service, now, output))
        return;
    forwarded.token = m_tokens.issue(packet.flow, packet.upstream);
    ++m_counters.packetsToCallers;
    output.sendToCaller(forwarded);
}

void Balancer::dropStaleEntry(const Packet& packet, core::TimePoint now)
{
    // The caller may have reused its port after a flow whose end this balancer has not seen.
    if (packet.type != PacketType::Opened || m_homes.isHome(packet.flow))
        return;
    const auto* entry = m_flows.find(packet.flow, now, flow::FlowTable::Touch::No);
    if (entry && entry->upstream() != packet.upstream && entry->idleTime(now) > portReuseDelay)
        dropFlow(packet.flow, now);
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
    // Another balancer may have forwarded a copy of the request, so its outcome is unknown.
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
