#pragma once

#include "ibisgw/balancer/Balancer.h"

#include <functional>
#include <memory>

namespace support {

// What a BalancerGroup needs of a balancer; benchmarks compare ibisgw with simpler ways of placement behind it.
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
    // Null for the ways of placement that serve only as a comparison.
    virtual ibisgw::balancer::Balancer* balancer() { return nullptr; }
};

using GroupMemberFactory = std::function<std::unique_ptr<GroupMember>(const ibisgw::balancer::BalancerOptions&)>;

} // namespace support
