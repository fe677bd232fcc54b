#include "ibisgw/flow/HomeRing.h"

#include "ibisgw/core/FlowKey.h"

#include <algorithm>
#include <iterator>

namespace ibisgw::flow {

namespace {

constexpr std::size_t maxRetainedRings = 16;

core::NodeId selectHome(const std::vector<RingMember>& members, std::uint64_t flowHash, const core::ZoneName* zone)
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
    return !home.isValid() && zone ? selectHome(members, flowHash, nullptr) : home;
}

std::vector<RingMember> membersWithout(std::vector<RingMember> members, core::NodeId node)
{
    std::erase_if(members, [&](const auto& it) { return it.node == node; });
    return members;
}

} // namespace

void HomeRing::setMembers(std::vector<RingMember> members, core::TimePoint now)
{
    if (members == m_members)
        return;
    retain(std::move(m_members), now, false);
    m_members = std::move(members);
}

void HomeRing::join(std::vector<RingMember> members, core::NodeId self, core::TimePoint now)
{
    m_members = std::move(members);
    retain(membersWithout(m_members, self), now, true);
}

void HomeRing::retain(std::vector<RingMember> members, core::TimePoint now, bool isOwnJoin)
{
    std::erase_if(m_retainedRings, [&](const auto& it) { return it.until + changeRetention < now; });
    if (!members.empty())
        m_retainedRings.push_back({ std::move(members), now, isOwnJoin });
    if (m_retainedRings.size() > maxRetainedRings)
        m_retainedRings.erase(m_retainedRings.begin());
}

core::NodeId HomeRing::homeOf(std::uint64_t flowHash, const core::ZoneName* zone) const
{
    return selectHome(m_members, flowHash, zone);
}

std::vector<PreviousHome> HomeRing::previousHomesOf(
    std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const
{
    std::vector<PreviousHome> homes;
    const auto add = [&](core::NodeId home, core::TimePoint until) {
        if (home.isValid() && std::ranges::find(homes, home, &PreviousHome::node) == homes.end())
            homes.push_back({ home, until });
    };
    const RetainedRing* oldest = nullptr;
    for (auto it = m_retainedRings.rbegin(); it != m_retainedRings.rend() && homes.size() < maxPreviousHomes; ++it) {
        if (it->until + changeRetention < now)
            break;
        oldest = &*it;
        const auto home = selectHome(it->members, flowHash, zone);
        add(home, it->until);
        // The selected home may itself have joined shortly before this balancer. Before that, the balancer ranked next
        // for the flow was the home.
        if (it->isOwnJoin)
            add(selectHome(membersWithout(it->members, home), flowHash, zone), it->until);
    }
    if (!oldest)
        return homes;
    // Members that are missing from the oldest retained ring may have returned from the other side of a partition,
    // where they formed a ring of their own.
    std::vector<RingMember> added;
    std::ranges::copy_if(m_members, std::back_inserter(added), [&](const auto& it) {
        return std::ranges::find(oldest->members, it.node, &RingMember::node) == oldest->members.end();
    });
    add(selectHome(added, flowHash, zone), m_retainedRings.back().until);
    return homes;
}

bool HomeRing::hasStoppedPreviousHome(std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const
{
    return std::ranges::any_of(m_retainedRings, [&](const auto& it) {
        const auto previous = selectHome(it.members, flowHash, zone);
        return it.until + changeRetention >= now && previous.isValid() && !isRunning(previous);
    });
}

bool HomeRing::isRunning(core::NodeId node) const
{
    return std::ranges::any_of(m_members, [&](const auto& it) { return it.node == node; });
}

bool HomeRing::wasRunning(core::NodeId node) const
{
    return std::ranges::any_of(m_retainedRings, [&](const RetainedRing& ring) {
        return std::ranges::any_of(ring.members, [&](const RingMember& it) { return it.node == node; });
    });
}

std::size_t HomeRing::homeCount() const
{
    return static_cast<std::size_t>(std::ranges::count(m_members, false, &RingMember::isLeaving));
}

} // namespace ibisgw::flow
