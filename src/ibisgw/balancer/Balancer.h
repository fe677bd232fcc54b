#pragma once

#include "ibisgw/balancer/BalancerCounters.h"
#include "ibisgw/balancer/BalancerOutput.h"
#include "ibisgw/balancer/OpenAdmission.h"
#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/RandomSource.h"
#include "ibisgw/flow/FlowTable.h"
#include "ibisgw/flow/FlowTokenCodec.h"
#include "ibisgw/flow/HomeRing.h"
#include "ibisgw/upstream/UpstreamRegistry.h"

#include <memory>
#include <optional>

namespace ibisgw::balancer {

struct BalancerOptions {
    core::NodeId self;
    core::ZoneName zone;
    std::size_t flowCapacity { 400'000 };
    // Flows without a packet for this long are forgotten.
    core::Duration idleLimit { std::chrono::minutes(30) };
    SafetyRules rules;
};

// State machine of one balancer: selects the upstream of each new flow and forwards the packets of
// existing flows to the upstream that they already have.
class Balancer {
public:
    Balancer(BalancerOptions, flow::FlowTokenCodec, core::RandomSource&);
    Balancer(const Balancer&) = delete;
    Balancer& operator=(const Balancer&) = delete;

    void applyDocument(std::shared_ptr<const configuration::Document>, core::TimePoint now);
    void setPeers(std::vector<core::NodeId> balancers, core::TimePoint now);
    void handleAnnouncement(const upstream::Announcement&, core::TimePoint now);
    // Whether the daemon has lost the controllers.
    void setPartitioned(bool partitioned, core::TimePoint now);

    void handleCallerPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleRelayedPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void handleUpstreamPacket(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void tick(core::TimePoint now, BalancerOutput&);

    const BalancerCounters& counters() const { return m_counters; }
    const upstream::UpstreamRegistry& upstreams() const { return m_upstreams; }
    std::size_t flowCount() const { return m_flows.size(); }

    const OpenAdmission& admission() const { return m_admission; }

private:
    void handlePacketOfCaller(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    void placeAdmitted(core::TimePoint now, BalancerOutput&);
    void placeFlow(const packet::Packet&, const configuration::Service&, core::TimePoint now, BalancerOutput&);
    std::optional<core::UpstreamId> resolveFlow(
        const packet::Packet&, const configuration::Service&, core::TimePoint now);
    bool relayToHome(const packet::Packet&, BalancerOutput&);
    void forward(const packet::Packet&, core::UpstreamId, BalancerOutput&);
    void refuse(const packet::Packet&, packet::RefusalKind, BalancerOutput&);
    void reset(const packet::Packet&, BalancerOutput&);
    void rejectUnresolved(const packet::Packet&, BalancerOutput&);
    bool serves(core::UpstreamId, const configuration::Service&) const;

    BalancerOptions m_options;
    flow::FlowTokenCodec m_tokens;
    core::RandomSource& m_random;
    std::shared_ptr<const configuration::Document> m_document;
    flow::FlowTable m_flows;
    flow::HomeRing m_homes;
    upstream::UpstreamRegistry m_upstreams;
    BalancerCounters m_counters;
    OpenAdmission m_admission;
};

} // namespace ibisgw::balancer
