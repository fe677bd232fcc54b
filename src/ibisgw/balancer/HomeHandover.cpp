#include "ibisgw/balancer/HomeHandover.h"

namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;

namespace {

// Above the hop limit of ordinary relays. Even counts are questions, odd counts are answers "not known".
constexpr std::uint8_t firstQuestionHop = 16;
// An answer after which no other previous home is asked.
constexpr std::uint8_t lastAnswerHop = 255;
constexpr std::size_t maxQuestions = 65'536;
// A balancer outside the ring has ended when it left two copies for one flow without an answer (the network
// loses single packets), or the questions about so many flows that it cannot know all of them.
constexpr unsigned flowQuestionsBeforeEnd = 2;
constexpr unsigned nodeQuestionsBeforeEnd = 20;
constexpr core::Duration answerTimeout = std::chrono::milliseconds(150);

bool isAnswer(const Packet& packet)
{
    return packet.relayHops >= firstQuestionHop && packet.relayHops % 2 == 1;
}

} // namespace

HomeHandover::HomeHandover(const FlowHomes& homes, PeerRelay& relay)
    : m_homes(homes)
    , m_relay(relay)
{
}

void HomeHandover::homesChanged()
{
    // What was learned about a former run of a balancer says nothing about the present one.
    for (const auto& it : m_homes.ring().members())
        m_questionsByNode.erase(it.node);
}

std::vector<core::NodeId> HomeHandover::previousHomes(const Packet& packet, core::TimePoint now) const
{
    std::vector<core::NodeId> homes;
    const bool isOpening = packet.type == PacketType::Open || packet.type == PacketType::Opened;
    for (const auto& it : m_homes.previousHomesOf(packet.flow, now)) {
        if (isOpening ? now - it.until <= memory : m_homes.ring().isRunning(it.node))
            homes.push_back(it.node);
    }
    return homes;
}

bool HomeHandover::hasEnded(const core::FlowKey& flow, core::NodeId node, core::TimePoint now)
{
    if (m_homes.ring().isRunning(node))
        return false;
    if (m_questionsByFlow.size() >= maxQuestions && !m_questionsByFlow.contains(flow))
        return true;
    auto& ofFlow = m_questionsByFlow.try_emplace(flow, Question { now, 0 }).first->second;
    auto& ofNode = m_questionsByNode.try_emplace(node, Question { now, 0 }).first->second;
    if (ofFlow.count >= flowQuestionsBeforeEnd && now - ofFlow.firstAskedAt > answerTimeout)
        return true;
    if (ofNode.count >= nodeQuestionsBeforeEnd && now - ofNode.firstAskedAt > answerTimeout)
        return true;
    ++ofFlow.count;
    ++ofNode.count;
    return false;
}

bool HomeHandover::isQuestion(const Packet& packet)
{
    return packet.relayHops >= firstQuestionHop && packet.relayHops % 2 == 0;
}

bool HomeHandover::relay(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    auto relayed = packet;
    if (isQuestion(packet)) {
        // Not known here either. The asking balancer is the home in the present ring.
        // The asking balancer has a group; this one has not joined it yet and must not place flows for it.
        if (m_homes.ring().members().size() == 1 && m_homes.isHome(packet.flow))
            return true;
        ++relayed.relayHops;
        return answer(relayed, now, output);
    }
    if (isAnswer(packet) && packet.type == PacketType::Opened)
        m_heldOpened.erase(packet.flow);
    if (isAnswer(packet) && !m_homes.isHome(packet.flow)) {
        // The ring has changed since the question; only the present home may place the flow.
        relayed.relayHops = 0;
        return m_relay.relayToHome(relayed, now, output);
    }
    std::size_t next = packet.relayHops < firstQuestionHop ? 0 : (packet.relayHops - firstQuestionHop + 1) / 2;
    const auto homes = previousHomes(packet, now);
    if (next > 0 && next <= homes.size())
        m_questionsByNode.erase(homes[next - 1]);
    for (; next < homes.size(); ++next) {
        if (hasEnded(packet.flow, homes[next], now))
            continue;
        relayed.relayHops = static_cast<std::uint8_t>(firstQuestionHop + 2 * next);
        m_relay.send(relayed, homes[next], now, output);
        if (packet.type == PacketType::Opened)
            hold(packet, now);
        return true;
    }
    return false;
}

void HomeHandover::hold(const Packet& packet, core::TimePoint now)
{
    if (m_heldOpened.size() >= maxQuestions)
        return;
    auto& held = m_heldOpened[packet.flow];
    held = { packet, { packet.payload.begin(), packet.payload.end() }, now + answerTimeout };
    held.packet.payload = held.payload;
}

bool HomeHandover::answer(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    const auto home = m_homes.homeOf(packet.flow);
    if (!home.isValid() || home == m_homes.self())
        return false;
    m_relay.send(packet, home, now, output);
    return true;
}

bool HomeHandover::answerOpened(const Packet& question, bool isRight, core::TimePoint now, BalancerOutput& output)
{
    auto packet = question;
    packet.relayHops = lastAnswerHop;
    if (!isRight) {
        packet.type = PacketType::Reset;
        packet.payload = {};
    }
    return answer(packet, now, output);
}

bool HomeHandover::takeObjection(const Packet& packet)
{
    if (!isAnswer(packet) || packet.type != PacketType::Reset)
        return false;
    m_heldOpened.erase(packet.flow);
    return true;
}

std::vector<HomeHandover::HeldOpened> HomeHandover::takeUnanswered(core::TimePoint now)
{
    std::vector<HeldOpened> unanswered;
    for (auto it = m_heldOpened.begin(); it != m_heldOpened.end();) {
        const bool isOver = now >= it->second.until;
        if (isOver)
            unanswered.push_back(std::move(it->second));
        it = isOver ? m_heldOpened.erase(it) : std::next(it);
    }
    return unanswered;
}

void HomeHandover::tick(core::TimePoint now)
{
    const auto isForgotten = [&](const auto& it) { return now - it.second.firstAskedAt > memory; };
    std::erase_if(m_questionsByFlow, isForgotten);
    std::erase_if(m_questionsByNode, isForgotten);
}

} // namespace ibisgw::balancer
