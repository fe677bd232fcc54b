#include "ibisgw/direct/FlowTracker.h"

namespace ibisgw::direct {

namespace {

// Work that is not seen to end counts for this long when the route states no latency objective.
constexpr core::Duration defaultExpectedWork = std::chrono::milliseconds(100);

// The acknowledgements of a long answer come once a round trip; a longer pause means that it has been sent.
constexpr core::Duration answerPause = std::chrono::milliseconds(100);

// Callers repeat data after 200 ms or more; a copy that comes sooner was delayed on the network.
constexpr core::Duration reorderingTime = std::chrono::milliseconds(100);

// Sequence numbers wrap around (RFC 1982).
bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

FlowTracker::FlowTracker(FlowTrackerLimits limits, ResponseMonitor& responses)
    : m_limits(limits)
    , m_responses(responses)
{
}

const InstanceLoad* FlowTracker::loadOf(upstream::InstanceId id) const
{
    const auto found = m_loads.find(id);
    return found == m_loads.end() ? nullptr : &found->second;
}

FlowTracker::Entry FlowTracker::remember(
    const core::FlowKey& key, const upstream::InstanceRecord& record, const Route* route, core::TimePoint now)
{
    // The packets of a forgotten flow still carry its token.
    if (m_flows.size() >= m_limits.maxFlows && !m_flows.contains(key))
        forget(m_flows.begin());
    const auto [entry, isNew] = m_flows.try_emplace(key);
    if (!isNew)
        return entry;
    auto& flow = entry->second;
    flow.instance = record.report.id;
    flow.token = record.token;
    flow.openedAt = flow.lastSeenAt = now;
    const bool hasObjective = route && route->latencyObjective > core::Duration::zero();
    flow.expectedWork = hasObjective ? route->latencyObjective : defaultExpectedWork;
    flow.hasLongAnswer = route && route->kind == RouteKind::Download;
    flow.isIdempotent = route && isIdempotent(route->kind);
    load(flow.instance).flowOpened();
    return entry;
}

void FlowTracker::forget(Entry entry)
{
    endWork(entry->second);
    load(entry->second.instance).flowClosed();
    m_flows.erase(entry);
}

// Work starts with data of the caller and has ended once the caller acknowledges new data of the upstream, or all of a
// long answer.
FlowObservation FlowTracker::observe(TrackedFlow& flow, const FlowSegment& segment, core::TimePoint now)
{
    FlowObservation observation;
    flow.lastSeenAt = now;
    observeSequence(flow, segment, observation, now);
    const bool isFirst = flow.acknowledged == 0;
    const bool hasNewAnswer = !isFirst && segment.isAcknowledging && isAfter(segment.acknowledged, flow.acknowledged);
    if (segment.isAcknowledging && (isFirst || hasNewAnswer))
        flow.acknowledged = segment.acknowledged;
    if (hasNewAnswer)
        observeAnswer(segment.flow, flow, observation, now);
    const bool followsLongAnswer = flow.isAnswering && observation.startsWork;
    if (segment.isFinishing || segment.isReset || followsLongAnswer)
        endWork(flow);
    if (segment.payloadBytes > 0 && !flow.isWorking && !segment.isFinishing)
        startWork(segment.flow, flow, now);
    return observation;
}

void FlowTracker::observeAnswer(
    const core::FlowKey& key, TrackedFlow& flow, FlowObservation& observation, core::TimePoint now)
{
    m_responses.noteProgress(flow.instance);
    load(flow.instance).progressed();
    if (!flow.isWorking)
        return;
    if (!flow.isAnswering)
        observation.answerTime = now - flow.workStartedAt;
    if (!flow.hasLongAnswer) {
        endWork(flow);
        return;
    }
    flow.workEndsAt = now + answerPause;
    if (!flow.isAnswering)
        m_workDeadlines.push({ flow.workEndsAt, key, flow.workNumber });
    flow.isAnswering = true;
}

void FlowTracker::observeSequence(
    TrackedFlow& flow, const FlowSegment& segment, FlowObservation& observation, core::TimePoint now)
{
    if (segment.payloadBytes == 0)
        return;
    const auto next = segment.sequence + segment.payloadBytes;
    if (!flow.hasData || isAfter(next, flow.nextSequence)) {
        observation.startsWork = !flow.hasData || !flow.isWorking || flow.isAnswering
            || (segment.isAcknowledging && isAfter(segment.acknowledged, flow.acknowledged));
        flow.hasData = true;
        flow.nextSequence = next;
        flow.newDataAt = now;
        return;
    }
    // Packets that overtake each other arrive within a few milliseconds; callers repeat after a longer time.
    if (now - flow.newDataAt < reorderingTime)
        return;
    observation.isRepeated = true;
    m_responses.noteRepeated(flow.instance, now);
}

void FlowTracker::startWork(const core::FlowKey& key, TrackedFlow& flow, core::TimePoint now)
{
    if (flow.isWorking)
        return;
    flow.isWorking = true;
    flow.isAnswering = false;
    flow.workStartedAt = now;
    flow.workEndsAt = now + flow.expectedWork;
    flow.workNumber = ++m_workCount;
    load(flow.instance).workStarted(now);
    m_workDeadlines.push({ flow.workEndsAt, key, flow.workNumber });
}

void FlowTracker::endWork(TrackedFlow& flow)
{
    if (!flow.isWorking)
        return;
    flow.isWorking = false;
    load(flow.instance).workEnded();
}

void FlowTracker::endOverdueWork(core::TimePoint now)
{
    while (!m_workDeadlines.empty() && m_workDeadlines.top().at <= now) {
        const auto deadline = m_workDeadlines.top();
        m_workDeadlines.pop();
        const auto found = m_flows.find(deadline.flow);
        if (found == m_flows.end() || found->second.workNumber != deadline.workNumber || !found->second.isWorking)
            continue;
        if (found->second.workEndsAt <= now)
            endWork(found->second);
        else
            m_workDeadlines.push({ found->second.workEndsAt, deadline.flow, deadline.workNumber });
    }
}

void FlowTracker::expire(core::Duration idleTimeout, core::TimePoint now)
{
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const auto& flow = it->second;
        const bool isOver = now - flow.lastSeenAt > (flow.isOpen ? idleTimeout : unopenedFlowAge)
            || now - flow.openedAt > m_limits.maxFlowAge;
        const auto entry = it++;
        if (isOver)
            forget(entry);
    }
}

std::vector<FlowSegment> FlowTracker::takeExpendable(const std::function<bool(const TrackedFlow&)>& condition)
{
    std::vector<FlowSegment> segments;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const auto entry = it++;
        const auto& flow = entry->second;
        const bool isExpendable = flow.isOpen && (!flow.isWorking || flow.isIdempotent);
        if (!isExpendable || !condition(flow))
            continue;
        auto& segment = segments.emplace_back();
        segment.flow = entry->first;
        segment.token = flow.token;
        segment.acknowledged = flow.acknowledged;
        forget(entry);
    }
    return segments;
}

void FlowTracker::dropLoads(const upstream::InstanceDirectory& directory)
{
    std::erase_if(m_loads, [&](const auto& it) {
        if (directory.find(it.first))
            return false;
        m_responses.forget(it.first);
        return true;
    });
}

} // namespace ibisgw::direct
