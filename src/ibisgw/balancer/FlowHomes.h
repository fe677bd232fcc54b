#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/flow/HomeRing.h"

#include <functional>

namespace ibisgw::balancer {

// Home balancers of flows according to the ring of this balancer's group. The home is chosen in the zone of the flow,
// which follows from the default placement of its service.
class FlowHomes {
public:
    // Returns null when the zone of the flow is unknown, for example without upstreams.
    using ZoneOf = std::function<const core::ZoneName*(const core::FlowKey&)>;

    FlowHomes(const flow::RingMember& self, ZoneOf);

    void setMembers(std::vector<flow::RingMember>, core::TimePoint now);

    core::NodeId self() const { return m_self; }
    core::NodeId homeOf(const core::FlowKey&) const;
    bool isHome(const core::FlowKey& flow) const { return homeOf(flow) == m_self; }
    // Other balancers that were the home of the flow in retained rings, newest first.
    std::vector<flow::PreviousHome> previousHomesOf(const core::FlowKey&, core::TimePoint now) const;
    // True when a home of the flow in a retained ring is no longer running.
    bool hasStoppedPreviousHome(const core::FlowKey&, core::TimePoint now) const;
    const flow::HomeRing& ring() const { return m_ring; }

private:
    core::NodeId m_self;
    ZoneOf m_zoneOf;
    flow::HomeRing m_ring;
};

} // namespace ibisgw::balancer
