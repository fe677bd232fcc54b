#include "ibisgw/flow/HomeRing.h"

#include "ibisgw/core/FlowKey.h"

#include <algorithm>
#include <iterator>

namespace ibisgw::flow {

namespace {

constexpr std::size_t maxPrevious = 8;

core::NodeId winner(const std::vector<RingMember>& members, std::uint64_t flowHash, const core::ZoneName* zone)
{
    core::NodeId home;
    std::uint64_t bestWeight = 0;
    for (const auto& it : members) {
        if (it.isLeaving || (zone && it.zone != *zone))
            continue;
        const auto weight = core::rendezvousWeight(flowHash, it.node.value);
        if (!home.isValid() || weight > bestWeight) {
            home = it.node;
            bestWeight = weight;
        }
    }
    return !home.isValid() && zone ? winner(members, flowHash, nullptr) : home;
}

} // namespace

void HomeRing::setMembers(std::vector<RingMember> members, core::TimePoint now)
{
    if (members == m_members)
        return;
    std::erase_if(m_previous, [&](const auto& it) { return it.until < now; });
    if (!m_members.empty())
        m_previous.push_back({ std::move(m_members), now + changeRetention });
    if (m_previous.size() > maxPrevious)
        m_previous.erase(m_previous.begin());
    m_members = std::move(members);
}

core::NodeId HomeRing::homeOf(std::uint64_t flowHash, const core::ZoneName* zone) const
{
    return winner(m_members, flowHash, zone);
}

core::NodeId HomeRing::previousHomeOf(std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const
{
    const auto home = homeOf(flowHash, zone);
    const Previous* oldest = nullptr;
    for (auto it = m_previous.rbegin(); it != m_previous.rend() && it->until >= now; ++it) {
        const auto previous = winner(it->members, flowHash, zone);
        if (previous != home && isRunning(previous))
            return previous;
        oldest = &*it;
    }
    if (!oldest)
        return {};
    // Balancers that have come back from the other side of a partition were homes among themselves.
    std::vector<RingMember> added;
    std::ranges::copy_if(m_members, std::back_inserter(added), [&](const auto& it) {
        return std::ranges::find(oldest->members, it.node, &RingMember::node) == oldest->members.end();
    });
    const auto other = winner(added, flowHash, zone);
    return other == home ? core::NodeId {} : other;
}

bool HomeRing::hasLostHome(std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const
{
    return std::ranges::any_of(m_previous, [&](const auto& it) {
        const auto previous = winner(it.members, flowHash, zone);
        return it.until >= now && previous.isValid() && !isRunning(previous);
    });
}

bool HomeRing::isRunning(core::NodeId node) const
{
    return std::ranges::any_of(m_members, [&](const auto& it) { return it.node == node; });
}

std::size_t HomeRing::homeCount() const
{
    return static_cast<std::size_t>(std::ranges::count(m_members, false, &RingMember::isLeaving));
}

} // namespace ibisgw::flow
