#include "ibisgw/balancer/HomeHandover.h"

#include <algorithm>

namespace ibisgw::balancer {

using packet::Packet;

namespace {

// Above the hop limit of ordinary relays. Even counts are questions, odd counts are answers "not known".
constexpr std::uint8_t firstQuestionHop = 16;
// Bounds the questions about one packet.
constexpr std::size_t maxPreviousHomes = 4;
constexpr std::size_t maxPreviousRings = 16;
constexpr std::size_t maxQuestions = 65'536;
// A balancer outside the ring has ended when it left two copies for one flow without an answer (the network
// loses single packets), or the questions about so many flows that it cannot know all of them.
constexpr unsigned flowQuestionsBeforeEnd = 2;
constexpr unsigned nodeQuestionsBeforeEnd = 20;
constexpr core::Duration answerTimeout = std::chrono::milliseconds(150);

flow::HomeRing withoutNode(const flow::HomeRing& ring, core::NodeId node)
{
    auto balancers = ring.balancers();
    std::erase(balancers, node);
    auto others = ring;
    others.setBalancers(std::move(balancers));
    return others;
}

} // namespace

HomeHandover::HomeHandover(core::NodeId self)
    : m_self(self)
{
}

void HomeHandover::homesChanged(const flow::HomeRing& previous, const flow::HomeRing& current, core::TimePoint now)
{
    if (previous.balancers() == current.balancers())
        return;
    m_current = current;
    // What was learned about a former run of a balancer says nothing about the present one.
    for (const auto& it : current.balancers())
        m_questionsByNode.erase(it);
    const bool joined = previous.balancers() == std::vector { m_self };
    m_previous.push_front({ joined ? withoutNode(current, m_self) : previous, now, joined });
    if (m_previous.size() > maxPreviousRings)
        m_previous.pop_back();
}

std::vector<core::NodeId> HomeHandover::previousHomes(const core::FlowKey& flow) const
{
    std::vector<core::NodeId> homes;
    const auto add = [&](core::NodeId home) {
        if (home.isValid() && home != m_self && std::ranges::find(homes, home) == homes.end())
            homes.push_back(home);
    };
    for (const auto& it : m_previous) {
        const auto home = it.homes.homeOf(flow);
        add(home);
        // The home before may itself have joined shortly before. The next in rank was the home then.
        if (it.joined)
            add(withoutNode(it.homes, home).homeOf(flow));
        if (homes.size() >= maxPreviousHomes)
            break;
    }
    return homes;
}

bool HomeHandover::hasEnded(const core::FlowKey& flow, core::NodeId node, core::TimePoint now)
{
    if (std::ranges::find(m_current.balancers(), node) != m_current.balancers().end())
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

bool HomeHandover::relay(const Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    auto relayed = packet;
    const bool isQuestion = packet.relayHops >= firstQuestionHop && packet.relayHops % 2 == 0;
    if (isQuestion) {
        // Not known here either. The asking balancer is the home in the present ring.
        const auto home = m_current.homeOf(packet.flow);
        if (!home.isValid() || home == m_self)
            return false;
        ++relayed.relayHops;
        output.sendToPeer(home, relayed);
        return true;
    }
    std::size_t next = packet.relayHops < firstQuestionHop ? 0 : (packet.relayHops - firstQuestionHop + 1) / 2;
    const auto homes = previousHomes(packet.flow);
    if (next > 0 && next <= homes.size())
        m_questionsByNode.erase(homes[next - 1]);
    for (; next < homes.size(); ++next) {
        if (hasEnded(packet.flow, homes[next], now))
            continue;
        relayed.relayHops = static_cast<std::uint8_t>(firstQuestionHop + 2 * next);
        output.sendToPeer(homes[next], relayed);
        return true;
    }
    return false;
}

void HomeHandover::tick(core::TimePoint now)
{
    while (!m_previous.empty() && now - m_previous.back().changedAt > memory)
        m_previous.pop_back();
    const auto isForgotten = [&](const auto& it) { return now - it.second.firstAskedAt > memory; };
    std::erase_if(m_questionsByFlow, isForgotten);
    std::erase_if(m_questionsByNode, isForgotten);
}

} // namespace ibisgw::balancer
