#include "ibisgw/balancer/PreviousHomeQueries.h"

namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;

namespace {

// Lowest hop count of a query, above the hop limit of other relays. Even counts are queries. Odd counts are replies,
// which say that the flow is unknown, except for replies to `opened` packets with finalReplyHop.
constexpr std::uint8_t firstQueryHop = 16;
// Hop count of a reply after which no further previous home is queried.
constexpr std::uint8_t finalReplyHop = 255;
constexpr std::size_t maxPendingQueries = 65'536;
// A balancer outside the ring is assumed to have stopped when two queries about one flow got no reply (the network may
// lose a single packet), or so many queries about different flows that it can't have all of them in its table.
constexpr unsigned maxUnansweredFlowQueries = 2;
constexpr unsigned maxUnansweredNodeQueries = 20;
constexpr core::Duration replyTimeout = std::chrono::milliseconds(150);

bool isReply(const Packet& packet)
{
    return packet.relayHops >= firstQueryHop && packet.relayHops % 2 == 1;
}

} // namespace

PreviousHomeQueries::PreviousHomeQueries(const FlowHomes& homes, PeerRelay& relay)
    : m_homes(homes)
    , m_relay(relay)
{
}

void PreviousHomeQueries::homesChanged()
{
    // Missing replies of an earlier process of a balancer don't show that its present process has stopped.
    for (const auto& it : m_homes.ring().members())
        m_pendingByNode.erase(it.node);
}

std::vector<core::NodeId> PreviousHomeQueries::previousHomes(const Packet& packet, core::TimePoint now) const
{
    std::vector<core::NodeId> homes;
    const bool isOpenOrOpened = packet.type == PacketType::Open || packet.type == PacketType::Opened;
    for (const auto& it : m_homes.previousHomesOf(packet.flow, now)) {
        if (isOpenOrOpened ? now - it.until <= openRetryWindow : m_homes.ring().isRunning(it.node))
            homes.push_back(it.node);
    }
    return homes;
}

bool PreviousHomeQueries::isUnresponsive(const core::FlowKey& flow, core::NodeId node, core::TimePoint now)
{
    if (m_homes.ring().isRunning(node))
        return false;
    if (m_pendingByFlow.size() >= maxPendingQueries && !m_pendingByFlow.contains(flow))
        return true;
    auto& ofFlow = m_pendingByFlow.try_emplace(flow, PendingQuery { now, 0 }).first->second;
    auto& ofNode = m_pendingByNode.try_emplace(node, PendingQuery { now, 0 }).first->second;
    if (ofFlow.count >= maxUnansweredFlowQueries && now - ofFlow.firstSentAt > replyTimeout)
        return true;
    if (ofNode.count >= maxUnansweredNodeQueries && now - ofNode.firstSentAt > replyTimeout)
        return true;
    ++ofFlow.count;
    ++ofNode.count;
    return false;
}

bool PreviousHomeQueries::isQuery(const Packet& packet)
{
    return packet.relayHops >= firstQueryHop && packet.relayHops % 2 == 0;
}

bool PreviousHomeQueries::relay(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    auto relayed = packet;
    if (isQuery(packet)) {
        // The flow is not in this balancer's table, so the packet goes back to the querying balancer, which is the home
        // in the present ring. If this balancer has not joined the group yet, its ring holds only itself: it must not
        // place flows of the group and drops the packet.
        if (m_homes.ring().members().size() == 1 && m_homes.isHome(packet.flow))
            return true;
        ++relayed.relayHops;
        return sendReply(relayed, now, output);
    }
    if (isReply(packet) && packet.type == PacketType::Opened)
        m_heldOpened.erase(packet.flow);
    if (isReply(packet) && !m_homes.isHome(packet.flow)) {
        // The ring has changed since the query was sent. Only the present home may place the flow.
        relayed.relayHops = 0;
        return m_relay.relayToHome(relayed, now, output);
    }
    std::size_t next = packet.relayHops < firstQueryHop ? 0 : (packet.relayHops - firstQueryHop + 1) / 2;
    const auto homes = previousHomes(packet, now);
    if (next > 0 && next <= homes.size())
        m_pendingByNode.erase(homes[next - 1]);
    for (; next < homes.size(); ++next) {
        if (isUnresponsive(packet.flow, homes[next], now))
            continue;
        relayed.relayHops = static_cast<std::uint8_t>(firstQueryHop + 2 * next);
        m_relay.send(relayed, homes[next], now, output);
        if (packet.type == PacketType::Opened)
            hold(packet, now);
        return true;
    }
    return false;
}

void PreviousHomeQueries::hold(const Packet& packet, core::TimePoint now)
{
    if (m_heldOpened.size() >= maxPendingQueries)
        return;
    auto& held = m_heldOpened[packet.flow];
    held = { packet, { packet.payload.begin(), packet.payload.end() }, now + replyTimeout };
    held.packet.payload = held.payload;
}

bool PreviousHomeQueries::sendReply(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto home = m_homes.homeOf(packet.flow);
    if (!home.isValid() || home == m_homes.self())
        return false;
    m_relay.send(packet, home, now, output);
    return true;
}

bool PreviousHomeQueries::replyToOpened(
    const Packet& query, bool isFlowUpstream, core::TimePoint now, BalancerOutput& output)
{
    auto packet = query;
    packet.relayHops = finalReplyHop;
    if (!isFlowUpstream) {
        packet.type = PacketType::Reset;
        packet.payload = {};
    }
    return sendReply(packet, now, output);
}

bool PreviousHomeQueries::handleRejection(const Packet& packet)
{
    if (!isReply(packet) || packet.type != PacketType::Reset)
        return false;
    m_heldOpened.erase(packet.flow);
    return true;
}

std::vector<PreviousHomeQueries::HeldOpened> PreviousHomeQueries::takeTimedOut(core::TimePoint now)
{
    std::vector<HeldOpened> timedOut;
    for (auto it = m_heldOpened.begin(); it != m_heldOpened.end();) {
        const bool isTimedOut = now >= it->second.until;
        if (isTimedOut)
            timedOut.push_back(std::move(it->second));
        it = isTimedOut ? m_heldOpened.erase(it) : std::next(it);
    }
    return timedOut;
}

void PreviousHomeQueries::tick(core::TimePoint now)
{
    const auto isExpired = [&](const auto& it) { return now - it.second.firstSentAt > openRetryWindow; };
    std::erase_if(m_pendingByFlow, isExpired);
    std::erase_if(m_pendingByNode, isExpired);
}

} // namespace ibisgw::balancer
