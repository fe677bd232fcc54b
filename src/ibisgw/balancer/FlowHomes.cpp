#include "ibisgw/balancer/FlowHomes.h"

#include <algorithm>

namespace ibisgw::balancer {

FlowHomes::FlowHomes(const flow::RingMember& self, ZoneOf zoneOf)
    : m_self(self.node)
    , m_zoneOf(std::move(zoneOf))
{
    m_ring.setMembers({ self }, {});
}

void FlowHomes::setMembers(std::vector<flow::RingMember> members, core::TimePoint now)
{
    const auto& currentMembers = m_ring.members();
    const bool isJoining = currentMembers.size() == 1 && currentMembers.front().node == m_self && members.size() > 1;
    if (isJoining)
        m_ring.join(std::move(members), m_self, now);
    else
        m_ring.setMembers(std::move(members), now);
}

core::NodeId FlowHomes::homeOf(const core::FlowKey& flow) const
{
    return m_ring.homeOf(flow.hash(), m_zoneOf(flow));
}

std::vector<flow::PreviousHome> FlowHomes::previousHomesOf(const core::FlowKey& flow, core::TimePoint now) const
{
    auto homes = m_ring.previousHomesOf(flow.hash(), m_zoneOf(flow), now);
    std::erase_if(homes, [&](const auto& it) { return it.node == m_self; });
    return homes;
}

bool FlowHomes::hasStoppedPreviousHome(const core::FlowKey& flow, core::TimePoint now) const
{
    return m_ring.hasStoppedPreviousHome(flow.hash(), m_zoneOf(flow), now);
}

} // namespace ibisgw::balancer
