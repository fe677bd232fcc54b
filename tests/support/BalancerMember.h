#pragma once

#include "support/GroupMember.h"

namespace support {

// Runs the production balancer (ibisgw::balancer::Balancer) as a member of a BalancerGroup.
class BalancerMember final : public GroupMember {
public:
    BalancerMember(ibisgw::balancer::BalancerOptions, ibisgw::core::RandomSource&);

    void handleCallerPacket(const Packet&, TimePoint now, Output&) override;
    void handleRelayedPacket(const Packet&, TimePoint now, Output&) override;
    void handleUpstreamPacket(const Packet&, TimePoint now, Output&) override;
    void handleAnnouncement(const ibisgw::upstream::Announcement&, TimePoint now) override;
    void tick(TimePoint now, Output&) override;
    ibisgw::balancer::Balancer* balancer() override { return &m_balancer; }

private:
    ibisgw::balancer::Balancer m_balancer;
};

} // namespace support
