#include "ibisgw/balancer/Balancer.h"

#include "ibisgw/upstream/LeastInFlightSelector.h"

namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

// A pass over the flow table takes this many ticks (10 s at 50 ms), so that no tick stalls packets.
constexpr std::size_t scanTicks = 200;
// Flow records beyond this share of the open flows give way.
constexpr double maxRecordShare = 0.04;
// A caller opens a new flow from the same port later than this after the end of the last one.
constexpr core::Duration portReuseDelay = std::chrono::seconds(1);

} // namespace

Balancer::Balancer(BalancerOptions options, flow::FlowTokenCodec tokens, core::RandomSource& random)
    : m_options(std::move(options))
    , m_tokens(tokens)
    , m_random(random)
    , m_flows(m_options.flowCapacity)
    , m_records(m_options.self, m_options.firstRecordSequence,
          static_cast<std::size_t>(maxRecordShare * static_cast<double>(m_options.flowCapacity)))
    , m_relayBudget(m_options.relaysPerSecond, m_options.relaysPerSecond)
{
    if (!m_options.makeSelector) {
        m_options.makeSelector = [](const auto& load, auto& source) {
            return std::make_unique<upstream::LeastInFlightSelector>(load, source);
        };
    }
    m_homes.setMembers({ { m_options.self, m_options.zone } }, {});
    m_flows.onEviction([this](const flow::FlowEntry& entry) {
        auto evicted = entry;
        setCounted(evicted, false);
    });
}

void Balancer::applyDocument(std::shared_ptr<const configuration::Document> document, core::TimePoint now)
{
    m_document = std::move(document);
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
    handleCallerPacket(packet, now, output);
}

void Balancer::handleCallerPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto* service = m_document ? m_document->findService(packet.flow.service) : nullptr;
    if (!service) {
        ++m_counters.droppedUnknownService;
        if (packet.type == PacketType::Open)
            refuse(packet, RefusalKind::NotRun, output);
        return;
    }
    if (packet.type == PacketType::Close) {
        closeFlow(packet, *service, now, output);
        return;
    }
    // An open always goes to its home: an entry here may be left over from an earlier flow of the caller.
    if (packet.type != PacketType::Open) {
        if (const auto upstream = resolveFlow(packet, *service, now)) {
            noteForwarded(packet, *service, now);
            forward(packet, *upstream, output);
            return;
        }
    }
    if (relayToHome(packet, now, output))
        return;
    if (packet.type == PacketType::Open)
        placeFlow(packet, *service, now, output);
    else if (const auto upstream = resolveByDefault(packet, *service, now))
        forward(packet, *upstream, output);
    else
        rejectUnresolved(packet, output);
}

void Balancer::handleUpstreamPacket(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto* service = m_document ? m_document->findService(packet.flow.service) : nullptr;
    if (!service || !serves(packet.upstream, *service)) {
        ++m_counters.droppedMisdirected;
        return;
    }
    auto* entry = m_flows.find(packet.flow, now, flow::FlowTable::Touch::No);
    if (entry && entry->upstream() != packet.upstream) {
        // A caller may use its port again after a flow whose end this balancer has not seen.
        const bool isNewFlow = packet.type == PacketType::Opened && entry->idleTime(now) > portReuseDelay;
        if (!isNewFlow) {
            ++m_counters.droppedCrossedAnswers;
            return;
        }
        dropFlow(packet.flow, now);
        entry = nullptr;
    }
    if (packet.type == PacketType::Close || packet.type == PacketType::Reset) {
        // The home counts the flow and keeps its record.
        auto close = packet;
        close.type = PacketType::Close;
        if (const auto home = homeOf(packet.flow.hash(), *service); home != m_options.self && home.isValid())
            relay(close, home, now, output);
        dropFlow(packet.flow, now);
    } else {
        if (!entry)
            entry = learn(packet, packet.upstream, *service, now);
        else
            entry->touch(now);
        noteAnswer(packet, entry, *service, now);
    }
    auto forwarded = packet;
    forwarded.token = m_tokens.issue(packet.flow, packet.upstream);
    ++m_counters.packetsToCallers;
    output.sendToCaller(forwarded);
}

void Balancer::tick(core::TimePoint now, BalancerOutput&)
{
    m_upstreams.removeExpired(now);
    for (auto& [service, placement] : m_placements)
        placement->update(now);
    m_flows.scan(
        m_flows.bucketCount() / scanTicks + 1, [&](flow::FlowEntry& entry) { return maintainFlow(entry, now); });
    std::size_t streams = 0;
    for (auto& [service, placement] : m_placements)
        streams += placement->defaults().flowCount();
    // Each home has about the same number of flows.
    const auto recordShare = static_cast<double>(streams * m_homes.homeCount()) * maxRecordShare;
    m_records.setLimit(static_cast<std::size_t>(recordShare));
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
    Packet refusal;
    refusal.type = PacketType::Refusal;
    refusal.flow = packet.flow;
    refusal.kind = packet.kind;
    refusal.request = packet.request;
    refusal.refusal = kind;
    refusal.trace = packet.trace;
    ++(kind == RefusalKind::NotRun ? m_counters.refusedNotRun : m_counters.refusedOutcomeUnknown);
    output.sendToCaller(refusal);
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
        refuse(packet, RefusalKind::OutcomeUnknown, output);
    else if (packet.type == PacketType::Data)
        reset(packet, output);
}

bool Balancer::serves(core::UpstreamId upstream, const configuration::Service& service) const
{
    const auto* record = m_upstreams.find(upstream);
    return record && record->announcement.service == service.name;
}

} // namespace ibisgw::balancer
