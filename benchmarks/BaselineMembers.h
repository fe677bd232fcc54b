#pragma once

#include "support/GroupMember.h"

#include <unordered_map>

namespace bench {

// Base class of the balancers that ibisgw's placement is compared with. They use no flow tokens, relay no packets to
// each other and exchange no flow records.
class BaselineMember : public support::GroupMember {
public:
    ~BaselineMember() override;

    void handleCallerPacket(const Packet&, TimePoint now, Output&) override;
    void handleRelayedPacket(const Packet&, TimePoint now, Output&) override;
    void handleUpstreamPacket(const Packet&, TimePoint now, Output&) override;
    void handleAnnouncement(const ibisgw::upstream::Announcement&, TimePoint now) override;
    void tick(TimePoint now, Output&) override;

protected:
    // Upstream that a packet from a caller is sent to; invalid when no upstream is eligible.
    virtual ibisgw::core::UpstreamId upstreamFor(const Packet&) = 0;
    const std::vector<ibisgw::core::UpstreamId>& eligible() const { return m_eligible; }

private:
    ibisgw::upstream::UpstreamRegistry m_upstreams;
    std::vector<ibisgw::core::UpstreamId> m_eligible;
};

// Rendezvous hashing over the eligible upstreams, without flow state.
class RendezvousBaseline final : public BaselineMember {
    ibisgw::core::UpstreamId upstreamFor(const Packet&) override;
};

// Places a new flow on the upstream with the fewest flows of this balancer; the flow table is not shared between
// balancers.
class LeastFlowsBaseline final : public BaselineMember {
    ibisgw::core::UpstreamId upstreamFor(const Packet&) override;

    std::unordered_map<ibisgw::core::FlowKey, ibisgw::core::UpstreamId> m_flows;
    std::unordered_map<ibisgw::core::UpstreamId, std::size_t> m_flowsByUpstream;
};

} // namespace bench
