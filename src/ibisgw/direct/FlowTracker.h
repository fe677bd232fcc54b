#pragma once

#include "ibisgw/direct/FlowSegment.h"
#include "ibisgw/direct/InstanceLoad.h"
#include "ibisgw/direct/ResponseMonitor.h"
#include "ibisgw/direct/RouteConfiguration.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <functional>
#include <optional>
#include <queue>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

// What is known of one flow from the packets of its caller.
struct TrackedFlow {
    upstream::InstanceId instance;
    std::uint32_t token { 0 };
    // A packet after the opening one was seen: the caller has an answer of the upstream.
    bool isOpen { false };
    // Opened by this balancer, so its first packet shows that the upstream answers.
    bool placedHere { false };
    bool isWorking { false };
    std::uint32_t acknowledged { 0 };
    // Sequence after the newest data of the caller; meaningful once there was data.
    std::uint32_t nextSequence { 0 };
    bool hasData { false };
    core::TimePoint newDataAt;
    core::TimePoint openedAt;
    core::TimePoint lastSeenAt;
    core::TimePoint workStartedAt;
    // Work that is not seen to end counts until then.
    core::TimePoint workEndsAt;
    core::Duration expectedWork { 0 };
    bool isIdempotent { false };
    // The answer takes many packets: its first one does not end the work.
    bool hasLongAnswer { false };
    bool isAnswering { false };
    std::uint64_t workNumber { 0 };
};

// What one packet of an open flow tells.
struct FlowObservation {
    // The caller had sent the data before.
    bool isRepeated { false };
    // First packet of data after a pause of the flow: the start of a request.
    bool startsWork { false };
    // Time from the start of work to the caller's acknowledgement of new data, when this packet brings it.
    std::optional<core::Duration> answerTime;
};

struct FlowTrackerLimits {
    core::Duration maxFlowAge { std::chrono::seconds(60) };
    std::size_t maxFlows { 400'000 };
};

// The flows that a balancer has seen lately and, from them, the load of each upstream. Nothing depends on a flow being
// known: an unknown one is forwarded by the token in its packets.
class FlowTracker {
public:
    using FlowMap = std::unordered_map<core::FlowKey, TrackedFlow>;
    using Entry = FlowMap::iterator;

    // Flows whose caller has closed them or whose opening packet stayed unanswered are forgotten after this time.
    static constexpr core::Duration unopenedFlowAge = std::chrono::seconds(2);

    FlowTracker(FlowTrackerLimits, ResponseMonitor&);

    Entry find(const core::FlowKey& key) { return m_flows.find(key); }
    Entry end() { return m_flows.end(); }
    // The flow, which is added if it is not known.
    Entry remember(const core::FlowKey&, const upstream::InstanceRecord&, const Route*, core::TimePoint now);
    void forget(Entry);
    // A packet after the opening one.
    FlowObservation observe(TrackedFlow&, const FlowSegment&, core::TimePoint now);
    void startWork(const core::FlowKey&, TrackedFlow&, core::TimePoint now);
    // Call ten times a second or more often.
    void endOverdueWork(core::TimePoint now);
    void expire(core::Duration idleTimeout, core::TimePoint now);
    // Forgets open flows for which the condition holds and that may be reset without harm: no request is in progress,
    // or only one that may be repeated. Returns for each what a reset of it needs.
    std::vector<FlowSegment> takeExpendable(const std::function<bool(const TrackedFlow&)>& condition);

    std::size_t size() const { return m_flows.size(); }
    InstanceLoad& load(upstream::InstanceId id) { return m_loads[id]; }
    const InstanceLoad* loadOf(upstream::InstanceId) const;
    // Forgets the load of upstreams that are no longer known.
    void dropLoads(const upstream::InstanceDirectory&);

private:
    struct WorkDeadline {
        core::TimePoint at;
        core::FlowKey flow;
        std::uint64_t workNumber { 0 };

        bool operator>(const WorkDeadline& other) const { return at > other.at; }
    };

    void observeSequence(TrackedFlow&, const FlowSegment&, FlowObservation&, core::TimePoint now);
    void observeAnswer(const core::FlowKey&, TrackedFlow&, FlowObservation&, core::TimePoint now);
    void endWork(TrackedFlow&);

    FlowTrackerLimits m_limits;
    ResponseMonitor& m_responses;
    FlowMap m_flows;
    std::unordered_map<upstream::InstanceId, InstanceLoad> m_loads;
    std::priority_queue<WorkDeadline, std::vector<WorkDeadline>, std::greater<>> m_workDeadlines;
    std::uint64_t m_workCount { 0 };
};

} // namespace ibisgw::direct
