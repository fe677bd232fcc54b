#pragma once

#include "support/GroupMember.h"

#include <unordered_map>

namespace bench {

// Common part of the ways of placement that ibisgw is compared with: no tokens, no relays, no records.
class BaselineMember : public support::GroupMember {
public:
    ~BaselineMember() override;

    void handleCallerPacket(const Packet&, TimePoint now, Output&) override;
    void handleRelayedPacket(const Packet&, TimePoint now, Output&) override;
    void handleUpstreamPacket(const Packet&, TimePoint now, Output&) override;
    void handleAnnouncement(const ibisgw::upstream::Announcement&, TimePoint now) override;
    void tick(TimePoint now, Output&) override;

protected:
    // Invalid when no upstream is eligible.
    virtual ibisgw::core::UpstreamId upstreamFor(const Packet&) = 0;
    const std::vector<ibisgw::core::UpstreamId>& eligible() const { return m_eligible; }

private:
    ibisgw::upstream::UpstreamRegistry m_upstreams;
    std::vector<ibisgw::core::UpstreamId> m_eligible;
};

// Plain rendezvous hashing over the eligible upstreams, without state for flows.
class HashBaseline final : public BaselineMember {
    ibisgw::core::UpstreamId upstreamFor(const Packet&) override;
};

// Least flows with a flow table that is not shared between balancers.
class LocalBaseline final : public BaselineMember {
    ibisgw::core::UpstreamId upstreamFor(const Packet&) override;

    std::unordered_map<ibisgw::core::FlowKey, ibisgw::core::UpstreamId> m_flows;
    std::unordered_map<ibisgw::core::UpstreamId, std::size_t> m_flowsByUpstream;
};

} // namespace bench
