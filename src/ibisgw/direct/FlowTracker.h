#pragma once

#include "ibisgw/direct/FlowSegment.h"
#include "ibisgw/direct/InstanceLoad.h"
#include "ibisgw/direct/MedianEstimate.h"
#include "ibisgw/direct/ResponseMonitor.h"
#include "ibisgw/direct/RouteConfiguration.h"
#include "ibisgw/direct/UnansweredRequestMonitor.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

// State of one flow, derived from the packets of its caller.
struct TrackedFlow {
    upstream::InstanceId instance;
    std::uint32_t token { 0 };
    // A packet after the opening one has arrived, so the caller has received a response from the upstream.
    bool isOpen { false };
    // This balancer forwarded the opening packet, so the caller's next packet shows that the upstream responds.
    bool isPlacedHere { false };
    // A request is estimated to be in progress at the upstream.
    bool isWorking { false };
    // Highest acknowledgement number that the caller has sent; 0 before the first one.
    std::uint32_t acknowledged { 0 };
    // Sequence number that follows the newest data of the caller; valid only if hasData is set.
    std::uint32_t nextSequence { 0 };
    bool hasData { false };
    core::TimePoint newDataAt;
    core::TimePoint openedAt;
    core::TimePoint lastSeenAt;
    core::TimePoint workStartedAt;
    // The response to the newest request hasn't been seen yet, even if the work counts as ended.
    bool isAwaitingResponse { false };
    // That response was noted as missing.
    bool isResponseMissing { false };
    // Time at which the work counts as ended if no packet has shown its end before.
    core::TimePoint workEndsAt;
    core::Duration expectedWorkDuration { 0 };
    bool isIdempotent { false };
    // The response takes many packets, so the first acknowledgement of response data doesn't end the work.
    bool hasLongResponse { false };
    // The caller has acknowledged a part of a long response.
    bool isResponding { false };
    // Number of the newest work on the flow; queued deadlines of earlier work are ignored.
    std::uint64_t workNumber { 0 };
};

// Events derived from one packet of an open flow.
struct FlowObservation {
    // The packet is a retransmission by the caller.
    bool isRetransmission { false };
    // The packet starts a request: it holds new data, and no request was in progress or the last one was answered.
    bool startsRequest { false };
    // Time from the start of the request to the caller's first acknowledgement of response data; set only if this
    // packet holds that acknowledgement.
    std::optional<core::Duration> responseTime;
};

struct FlowTrackerLimits {
    core::Duration maxFlowAge { std::chrono::seconds(60) };
    std::size_t maxFlows { 400'000 };
};

// Table of the flows that a balancer has recently forwarded packets of, and the load of each upstream estimated from
// them. A flow may be missing from the table at any time: its packets are then forwarded by the token that they carry.
class FlowTracker {
public:
    using FlowMap = std::unordered_map<core::FlowKey, TrackedFlow>;
    using Entry = FlowMap::iterator;

    // A flow whose opening packet has received no response is removed after this time without a packet.
    static constexpr core::Duration maxUnopenedFlowAge = std::chrono::seconds(2);

    FlowTracker(FlowTrackerLimits, ResponseMonitor&, LinkCongestion&);

    Entry find(const core::FlowKey& key) { return m_flows.find(key); }
    Entry end() { return m_flows.end(); }
    // Returns the entry of the flow and adds one if there is none. At the limit of flows another entry is removed.
    Entry findOrAdd(const core::FlowKey&, const upstream::InstanceRecord&, const Route*, core::TimePoint now);
    void remove(Entry);
    // Updates the flow from a packet after the opening one.
    FlowObservation observe(TrackedFlow&, const FlowSegment&, core::TimePoint now);
    void startWork(const core::FlowKey&, TrackedFlow&, core::TimePoint now);
    // Ends the work whose expected duration is over. Call at least ten times a second.
    void endOverdueWork(core::TimePoint now);
    // Removes flows that are idle, have never been opened or exceed the age limit.
    void expire(core::Duration idleTimeout, core::TimePoint now);
    // Removes the open flows that meet the condition and that can be reset without losing a request: none is in
    // progress, or it is idempotent. Returns for each flow the fields that a reset needs: flow, token, acknowledgement.
    std::vector<FlowSegment> takeResettable(const std::function<bool(const TrackedFlow&)>& condition);

    std::size_t size() const { return m_flows.size(); }
    UnansweredRequestMonitor& unanswered() { return m_unanswered; }
    const UnansweredRequestMonitor& unanswered() const { return m_unanswered; }
    InstanceLoad& load(upstream::InstanceId id) { return m_loads[id]; }
    const InstanceLoad* loadOf(upstream::InstanceId) const;
    // Number of upstreams that respond more slowly than usual.
    std::size_t slowInstances(core::TimePoint now) const;
    // Sets the routes whose response times are measured, and keeps those measured before.
    void setRoutes(const std::vector<Route>&);
    // Removes the load and response state of upstreams that are no longer in the directory.
    void dropLoads(const upstream::InstanceDirectory&);

private:
    struct WorkDeadline {
        core::TimePoint at;
        core::FlowKey flow;
        std::uint64_t workNumber { 0 };

        bool operator>(const WorkDeadline& other) const { return at > other.at; }
    };

    void observeSequence(TrackedFlow&, const FlowSegment&, FlowObservation&, core::TimePoint now);
    void observeResponse(const core::FlowKey&, TrackedFlow&, FlowObservation&, core::TimePoint now);
    void endWork(TrackedFlow&);
    // Handles the deadline of a request whose work counts as ended: its answer may be overdue.
    void checkAnswer(const core::FlowKey&, TrackedFlow&, core::TimePoint now);
    void noteResponse(const core::FlowKey&, const TrackedFlow&, core::Duration, core::TimePoint now);

    FlowTrackerLimits m_limits;
    ResponseMonitor& m_responses;
    LinkCongestion& m_congestion;
    UnansweredRequestMonitor m_unanswered;
    FlowMap m_flows;
    std::unordered_map<upstream::InstanceId, InstanceLoad> m_loads;
    std::priority_queue<WorkDeadline, std::vector<WorkDeadline>, std::greater<>> m_workDeadlines;
    std::uint64_t m_workCount { 0 };
    // Usual response time of each route, by its address. Holds no other addresses, since a caller may put any into its
    // packets.
    std::unordered_map<core::Endpoint, MedianEstimate> m_responseTimes;
};

} // namespace ibisgw::direct
