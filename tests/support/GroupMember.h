#pragma once

#include "ibisgw/balancer/Balancer.h"

#include <functional>
#include <memory>

namespace support {

// Interface of a balancer in a BalancerGroup. BalancerMember implements it with the production balancer; benchmarks
// implement it with simpler placement algorithms as baselines.
class GroupMember {
public:
    using TimePoint = ibisgw::core::TimePoint;
    using Output = ibisgw::balancer::BalancerOutput;
    using Packet = ibisgw::packet::Packet;

    virtual ~GroupMember();

    virtual void handleCallerPacket(const Packet&, TimePoint now, Output&) = 0;
    virtual void handleRelayedPacket(const Packet&, TimePoint now, Output&) = 0;
    virtual void handleUpstreamPacket(const Packet&, TimePoint now, Output&) = 0;
    virtual void handleAnnouncement(const ibisgw::upstream::Announcement&, TimePoint now) = 0;
    virtual void tick(TimePoint now, Output&) = 0;
    // The production balancer behind this member; null for the baseline algorithms of the benchmarks.
    virtual ibisgw::balancer::Balancer* balancer() { return nullptr; }
};

using GroupMemberFactory = std::function<std::unique_ptr<GroupMember>(const ibisgw::balancer::BalancerOptions&)>;

} // namespace support
