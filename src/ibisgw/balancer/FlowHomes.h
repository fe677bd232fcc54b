#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/flow/HomeRing.h"

#include <functional>

namespace ibisgw::balancer {

// Homes of flows as one balancer sees them: the ring of its group, and the zone of each flow, which follows from
// the placement of its service.
class FlowHomes {
public:
    // Null when the zone of the flow is not known.
    using ZoneOf = std::function<const core::ZoneName*(const core::FlowKey&)>;

    FlowHomes(const flow::RingMember& self, ZoneOf);

    void setMembers(std::vector<flow::RingMember>, core::TimePoint now);

    core::NodeId self() const { return m_self; }
    core::NodeId homeOf(const core::FlowKey&) const;
    bool isHome(const core::FlowKey& flow) const { return homeOf(flow) == m_self; }
    // Other balancers that were the home of the flow before, newest first.
    std::vector<flow::PreviousHome> previousHomesOf(const core::FlowKey&, core::TimePoint now) const;
    // True when an earlier home of the flow runs no more.
    bool hasLostHome(const core::FlowKey&, core::TimePoint now) const;
    const flow::HomeRing& ring() const { return m_ring; }

private:
    core::NodeId m_self;
    ZoneOf m_zoneOf;
    flow::HomeRing m_ring;
};

} // namespace ibisgw::balancer
