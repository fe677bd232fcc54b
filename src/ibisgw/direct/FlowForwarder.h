#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/direct/EgressPacer.h"
#include "ibisgw/direct/FlowSegment.h"
#include "ibisgw/direct/FlowTracker.h"
#include "ibisgw/direct/InstanceSelector.h"
#include "ibisgw/direct/ResponseMonitor.h"
#include "ibisgw/direct/RouteConfiguration.h"

#include <memory>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

enum class ForwardAction : std::uint8_t {
    Forward,
    Reset, // tell the caller that the flow is not open
    Drop,
};

// Why a segment was handled as it was.
enum class ForwardReason : std::uint8_t {
    Placed,
    PlacedAgain, // the first choice did not answer
    OpenFlow,
    NoConfiguration,
    NoRoute,
    NoUpstream,
    UnknownToken,
    UpstreamGone,
    UpstreamUnresponsive,
    LateCopy,
};
constexpr std::size_t forwardReasonCount = 10;

std::string_view nameOf(ForwardReason);

struct ForwardDecision {
    ForwardAction action { ForwardAction::Drop };
    ForwardReason reason { ForwardReason::UnknownToken };
    // Forward only: where to, and the token to put into the packet.
    core::Endpoint target;
    upstream::InstanceId instance;
    std::uint32_t token { 0 };
    EgressClass egressClass { EgressClass::Signal };
    // The caller had sent the data before.
    bool isRepeated { false };
    // First packet of data after a pause of the flow: the start of a request.
    bool startsWork { false };
    // Time from forwarding an opening packet to the caller's next packet, when this is that packet.
    std::optional<core::Duration> openTime;
    // Time from the start of work to the caller's acknowledgement of new data, when this packet brings it.
    std::optional<core::Duration> answerTime;
    // What a placement was decided on.
    std::uint32_t candidates { 0 };
    std::uint32_t inProgress { 0 };
    std::uint32_t openFlows { 0 };
};

struct ForwarderOptions {
    core::ZoneName zone;
    FlowTrackerLimits limits;
};

// Decides for each packet of a caller where it goes, when upstreams answer callers directly. An open flow is
// forwarded by the token in its packets, so any balancer carries it; the table of flows only serves to estimate
// load and to place repeated opening packets elsewhere.
class FlowForwarder {
public:
    FlowForwarder(ForwarderOptions, const upstream::InstanceDirectory&, const InstanceSelector&, core::RandomSource&);

    ForwardDecision handle(const FlowSegment&, core::TimePoint now);
    ResponseMonitor& responses() { return m_responses; }
    // Ignores a version that is not higher than the one in force.
    bool apply(std::shared_ptr<const RouteConfiguration>, core::TimePoint now);
    // Call ten times a second or more often.
    void tick(core::TimePoint now);
    // Flows to reset because their upstream has ended or answers nothing, and whose callers wait for nothing or for
    // requests that may be repeated. A caller that is told before its next request opens another flow for it; a request
    // on a lost flow would be lost, too.
    std::vector<FlowSegment> takeLostFlows(core::TimePoint now);

    ConfigurationVersion version() const { return m_configuration ? m_configuration->version : 0; }
    std::size_t openFlows() const { return m_flows.size(); }
    const InstanceLoad* loadOf(upstream::InstanceId id) const { return m_flows.loadOf(id); }
    std::uint64_t count(ForwardReason reason) const { return m_counts[static_cast<std::size_t>(reason)]; }

private:
    // The newest flow of a caller that has shown no sign of being open.
    struct UnconfirmedOpen {
        core::FlowKey flow;
        upstream::InstanceId instance;
        core::TimePoint at;
    };

    ForwardDecision decide(const FlowSegment&, const Route*, core::TimePoint now);
    ForwardDecision open(const FlowSegment&, const Route&, core::TimePoint now);
    ForwardDecision continueFlow(const FlowSegment&, const Route*, core::TimePoint now);
    ForwardDecision forwardOpen(
        FlowTracker::Entry, const upstream::InstanceRecord&, const FlowSegment&, core::TimePoint now);
    ForwardDecision resolveToken(const FlowSegment&, const Route*, core::TimePoint now);
    std::optional<upstream::InstanceId> unconfirmedInstanceOf(const core::FlowKey&, core::TimePoint now) const;
    void confirm(const core::FlowKey&);
    const upstream::InstanceRecord* choose(
        const Route&, std::optional<upstream::InstanceId> excluded, core::TimePoint now);
    const core::ServiceName& drawService(const Route&);
    void collectCandidates(const core::ServiceName&, std::optional<upstream::InstanceId> excluded, core::TimePoint now);
    bool isLost(const upstream::InstanceRecord&, const FlowSegment&) const;
    bool isDoubtful(const upstream::InstanceRecord&, core::TimePoint now) const;

    void followMarks(core::TimePoint now);
    void expire(core::TimePoint now);
    bool isLost(const TrackedFlow&, core::TimePoint now) const;

    ForwarderOptions m_options;
    const upstream::InstanceDirectory& m_directory;
    const InstanceSelector& m_selector;
    core::RandomSource& m_random;
    std::shared_ptr<const RouteConfiguration> m_configuration;
    std::unordered_map<core::Endpoint, const Route*> m_routes;
    ResponseMonitor m_responses;
    FlowTracker m_flows;
    // By the address of the caller.
    std::unordered_map<std::uint32_t, UnconfirmedOpen> m_unconfirmedOpens;
    std::vector<Candidate> m_candidates;
    core::TimePoint m_nextExpiry {};
    std::uint64_t m_seenChange { 0 };
    // Losses of upstreams that the flows were searched for, and when to search again.
    std::uint64_t m_seenLosses { 0 };
    core::TimePoint m_nextLossSearch {};
    core::TimePoint m_lossSearchEnd {};
    std::uint64_t m_counts[forwardReasonCount] {};
};

} // namespace ibisgw::direct
