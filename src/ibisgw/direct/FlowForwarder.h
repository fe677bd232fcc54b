#pragma once

#include "ibisgw/direct/EgressPacer.h"
#include "ibisgw/direct/FlowPlacer.h"
#include "ibisgw/direct/FlowSegment.h"
#include "ibisgw/direct/FlowTracker.h"
#include "ibisgw/direct/LinkAdmission.h"
#include "ibisgw/direct/ResponseMonitor.h"
#include "ibisgw/direct/RouteConfiguration.h"
#include "ibisgw/direct/SilenceLimit.h"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

enum class ForwardAction : std::uint8_t {
    Forward,
    Reset, // send a reset to the caller
    Drop,
};

// Reason for a ForwardDecision.
enum class ForwardReason : std::uint8_t {
    Placed,
    PlacedAgain, // the upstream selected first didn't respond to the opening packet
    OpenFlow,
    NoConfiguration,
    ConfigurationUnconfirmed, // the configuration may be outdated
    NoRoute,
    NoUpstream,
    UnknownToken,
    UpstreamGone,
    UpstreamUnresponsive,
    LateCopy, // retransmitted opening packet of a flow that is open already
    ZoneEvacuated, // all ready upstreams of the service are in evacuated zones
    LinkFull, // the balancer's link can't carry another flow
    UpstreamCold, // all upstreams of the service are cold, and the limit of their cold starts is reached
};
constexpr std::size_t forwardReasonCount = 14;

std::string_view nameOf(ForwardReason);

// Whether a packet that wasn't forwarded for this reason should be held, because what it needs may arrive soon:
// controllers answer within milliseconds after a start, and receive reports of new upstreams before balancers do.
bool mayBecomeForwardable(ForwardReason, bool hasCompleteDirectory);

struct ForwardDecision {
    ForwardAction action { ForwardAction::Drop };
    ForwardReason reason { ForwardReason::UnknownToken };
    // Forward only: destination address, upstream, and the token to put into the packet.
    core::Endpoint target;
    upstream::InstanceId instance;
    std::uint32_t token { 0 };
    EgressClass egressClass { EgressClass::Control };
    // The packet is a retransmission by the caller.
    bool isRetransmission { false };
    // The packet starts a request: it holds new data, and no request was in progress or the last one was answered.
    bool startsRequest { false };
    // Time from forwarding the opening packet to the caller's next packet; set only for that packet.
    std::optional<core::Duration> openTime;
    // Time from the start of the request to the caller's first acknowledgement of response data; set only if this
    // packet holds that acknowledgement.
    std::optional<core::Duration> responseTime;
    // Placements only: number of candidates, and load of the selected upstream before the placement.
    std::uint32_t candidates { 0 };
    std::uint32_t inProgress { 0 };
    std::uint32_t openFlows { 0 };
};

struct ForwarderOptions {
    core::ZoneName zone;
    FlowTrackerLimits limits;
    // Rate of this VM's link; 0 for no limit.
    std::uint64_t linkBytesPerSecond { 0 };
};

// Decides how each packet of a caller is forwarded, with direct server return. An open flow is forwarded by the token
// in its packets, so any balancer can forward it. The flow table only serves to estimate load, to place retransmitted
// opening packets on another upstream and to find the flows of a lost upstream.
class FlowForwarder {
public:
    FlowForwarder(ForwarderOptions, const upstream::InstanceDirectory&, const InstanceSelector&, core::RandomSource&);

    ForwardDecision handle(const FlowSegment&, core::TimePoint now);
    ResponseMonitor& responses() { return m_responses; }
    // Must be told of the waits of packets for the link and of pauses of the process.
    LinkCongestion& congestion() { return m_congestion; }
    const LinkCongestion& congestion() const { return m_congestion; }
    // Must be told of the bytes that wait for the link.
    LinkAdmission& admission() { return m_admission; }
    // Passes the result of a probe to responses(), unless too many upstreams of all zones are silent at once.
    void noteProbe(upstream::InstanceId, ProbeResult, core::TimePoint now);
    // Returns false and ignores the configuration if its version isn't higher than the one in force.
    bool apply(std::shared_ptr<const RouteConfiguration>, core::TimePoint now);
    // New flows avoid the upstreams of these zones; open flows stay. Returns false and ignores the set if its revision
    // isn't higher than that of the set in force.
    bool setEvacuations(upstream::ZoneEvacuations);
    const upstream::ZoneEvacuations& evacuations() const { return m_placer.evacuations(); }
    // Whether new flows are placed. Without that their opening packets are reset, and open flows go on.
    void setPlacing(bool isPlacing) { m_isPlacing = isPlacing; }
    // Call at least ten times a second.
    void tick(core::TimePoint now);
    // Removes and returns the flows to reset because their upstream has ended or is unresponsive, provided that no
    // request or only an idempotent one is in progress. A caller whose idle flow is reset opens another one for its
    // next request; a request sent on the lost flow would be lost with it.
    std::vector<FlowSegment> takeLostFlows(core::TimePoint now);

    ConfigurationVersion version() const { return m_configuration ? m_configuration->version : 0; }
    std::size_t openFlows() const { return m_flows.size(); }
    const InstanceLoad* loadOf(upstream::InstanceId id) const { return m_flows.loadOf(id); }
    // Number of upstreams that get fewer new flows because they respond slowly.
    std::size_t slowInstances(core::TimePoint now) const { return m_flows.slowInstances(now); }
    UnansweredRequestMonitor& unansweredRequests() { return m_flows.unanswered(); }
    ColdStartLimit& coldStarts() { return m_placer.coldStarts(); }
    ZoneOutageMonitor& zoneOutages() { return m_placer.zoneOutages(); }
    // Observations that were not held against upstreams because the fault is probably this balancer's own.
    std::uint64_t evidenceDiscarded() const { return m_congestion.discardedCount() + m_probesOverLimit; }
    std::uint64_t count(ForwardReason reason) const { return m_counts[static_cast<std::size_t>(reason)]; }

private:
    ForwardDecision decide(const FlowSegment&, const Route*, core::TimePoint now);
    bool isRejected(const FlowSegment&, const Route&, core::TimePoint now);
    // Decides about an opening packet for which there is no upstream. `wasPlaced`: an earlier copy was forwarded.
    ForwardDecision notPlaced(bool wasPlaced) const;
    ForwardDecision open(const FlowSegment&, const Route&, core::TimePoint now);
    ForwardDecision continueFlow(const FlowSegment&, const Route*, core::TimePoint now);
    ForwardDecision forwardOpen(
        FlowTracker::Entry, const upstream::InstanceRecord&, const FlowSegment&, core::TimePoint now);
    ForwardDecision resolveToken(const FlowSegment&, const Route*, core::TimePoint now);
    bool isLost(const upstream::InstanceRecord&, const FlowSegment&, core::TimePoint now) const;
    bool isLost(const upstream::InstanceRecord&, core::TimePoint now) const;

    void applyOverdueMarks(core::TimePoint now);
    void expire(core::TimePoint now);
    bool isLost(const TrackedFlow&, core::TimePoint now) const;

    ForwarderOptions m_options;
    const upstream::InstanceDirectory& m_directory;
    std::shared_ptr<const RouteConfiguration> m_configuration;
    bool m_isPlacing { true };
    std::unordered_map<core::Endpoint, const Route*> m_routes;
    LinkCongestion m_congestion;
    LinkAdmission m_admission;
    ResponseMonitor m_responses { m_congestion };
    SilenceLimit m_silenceLimit;
    FlowTracker m_flows;
    FlowPlacer m_placer;
    core::TimePoint m_nextExpiry {};
    std::uint64_t m_lastAppliedChange { 0 };
    // Number of lost upstreams at the last check, and when to search the flows of lost upstreams next and last.
    std::uint64_t m_lastLossCount { 0 };
    core::TimePoint m_nextLostFlowSearch {};
    core::TimePoint m_lostFlowSearchEnd {};
    std::uint64_t m_probesOverLimit { 0 };
    std::uint64_t m_counts[forwardReasonCount] {};
};

} // namespace ibisgw::direct
