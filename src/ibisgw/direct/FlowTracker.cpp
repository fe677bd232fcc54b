#include "ibisgw/direct/FlowTracker.h"

#include <algorithm>
#include <utility>

namespace ibisgw::direct {

namespace {

// Expected duration of a request on a route without a latency objective.
constexpr core::Duration defaultWorkDuration = std::chrono::milliseconds(100);

// Callers acknowledge a long response at least once per round trip, so a longer pause means that it is complete.
constexpr core::Duration longResponseIdleTimeout = std::chrono::milliseconds(100);

// Callers retransmit data after 200 ms or more; an older sequence number that arrives sooner is due to reordering.
constexpr core::Duration reorderingWindow = std::chrono::milliseconds(100);

// Multiple of the latency objective after which an answer counts as missing. Single requests take several times as long
// as usual.
constexpr int maxAnswerTime = 2;

// Compares sequence numbers that wrap around (RFC 1982).
bool isAfter(std::uint32_t a, std::uint32_t b)
{
    return static_cast<std::int32_t>(a - b) > 0;
}

} // namespace

FlowTracker::FlowTracker(FlowTrackerLimits limits, ResponseMonitor& responses, LinkCongestion& congestion)
    : m_limits(limits)
    , m_responses(responses)
    , m_congestion(congestion)
{
}

const InstanceLoad* FlowTracker::loadOf(upstream::InstanceId id) const
{
    const auto found = m_loads.find(id);
    return found == m_loads.end() ? nullptr : &found->second;
}

std::size_t FlowTracker::slowInstances(core::TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_loads, [now](const auto& it) { return it.second.isSlow(now); }));
}

void FlowTracker::setRoutes(const std::vector<Route>& routes)
{
    std::unordered_map<core::Endpoint, MedianEstimate> responseTimes;
    for (const auto& it : routes)
        responseTimes[it.address] = m_responseTimes[it.address];
    m_responseTimes = std::move(responseTimes);
    m_unanswered.setRoutes(routes);
}

FlowTracker::Entry FlowTracker::findOrAdd(
    const core::FlowKey& key, const upstream::InstanceRecord& record, const Route* route, core::TimePoint now)
{
    // Any entry can be removed: the packets of its flow carry the token by which they are forwarded.
    if (m_flows.size() >= m_limits.maxFlows && !m_flows.contains(key))
        remove(m_flows.begin());
    const auto [entry, isNew] = m_flows.try_emplace(key);
    if (!isNew)
        return entry;
    auto& flow = entry->second;
    flow.instance = record.report.id;
    flow.token = record.token;
    flow.openedAt = flow.lastSeenAt = now;
    const bool hasObjective = route && route->latencyObjective > core::Duration::zero();
    flow.expectedWorkDuration = hasObjective ? route->latencyObjective : defaultWorkDuration;
    flow.hasLongResponse = route && route->kind == RouteKind::Download;
    flow.isIdempotent = route && isIdempotent(route->kind);
    load(flow.instance).noteFlowOpened();
    return entry;
}

void FlowTracker::remove(Entry entry)
{
    endWork(entry->second);
    load(entry->second.instance).noteFlowClosed();
    m_flows.erase(entry);
}

// Work starts with data from the caller. It ends when the caller acknowledges new data from the upstream or, for a long
// response, when it stops acknowledging more.
FlowObservation FlowTracker::observe(TrackedFlow& flow, const FlowSegment& segment, core::TimePoint now)
{
    FlowObservation observation;
    flow.lastSeenAt = now;
    observeSequence(flow, segment, observation, now);
    const bool isFirst = flow.acknowledged == 0;
    const bool hasNewResponseData
        = !isFirst && segment.isAcknowledging && isAfter(segment.acknowledged, flow.acknowledged);
    if (segment.isAcknowledging && (isFirst || hasNewResponseData))
        flow.acknowledged = segment.acknowledged;
    if (hasNewResponseData)
        observeResponse(segment.flow, flow, observation, now);
    const bool followsLongResponse = flow.isResponding && observation.startsRequest;
    if (segment.isFinishing || segment.isReset || followsLongResponse)
        endWork(flow);
    if (segment.payloadBytes > 0 && !flow.isWorking && !segment.isFinishing)
        startWork(segment.flow, flow, now);
    return observation;
}

void FlowTracker::observeResponse(
    const core::FlowKey& key, TrackedFlow& flow, FlowObservation& observation, core::TimePoint now)
{
    m_responses.noteProgress(flow.instance);
    load(flow.instance).noteProgress(now);
    m_unanswered.noteProgress(flow.instance);
    if (flow.isAwaitingResponse && !flow.isResponseMissing)
        m_unanswered.noteAnswered(key.service, flow.instance);
    // A caller that acknowledges the response only with its next request shows when it sent that one.
    if (flow.isAwaitingResponse && !observation.startsRequest && !m_congestion.discards(flow.workStartedAt))
        noteResponse(key, flow, now - flow.workStartedAt, now);
    flow.isAwaitingResponse = false;
    if (!flow.isWorking)
        return;
    if (!flow.isResponding)
        observation.responseTime = now - flow.workStartedAt;
    if (!flow.hasLongResponse) {
        endWork(flow);
        return;
    }
    flow.workEndsAt = now + longResponseIdleTimeout;
    if (!flow.isResponding)
        m_workDeadlines.push({ flow.workEndsAt, key, flow.workNumber });
    flow.isResponding = true;
}

void FlowTracker::noteResponse(
    const core::FlowKey& key, const TrackedFlow& flow, core::Duration responseTime, core::TimePoint now)
{
    const auto found = m_responseTimes.find(key.service);
    if (found == m_responseTimes.end())
        return;
    auto& usual = found->second;
    usual.add(responseTime);
    if (usual.isReliable())
        load(flow.instance).noteResponse(usual.ratioOf(responseTime), now);
}

void FlowTracker::observeSequence(
    TrackedFlow& flow, const FlowSegment& segment, FlowObservation& observation, core::TimePoint now)
{
    if (segment.payloadBytes == 0)
        return;
    const auto next = segment.sequence + segment.payloadBytes;
    if (!flow.hasData || isAfter(next, flow.nextSequence)) {
        observation.startsRequest = !flow.hasData || !flow.isWorking || flow.isResponding
            || (segment.isAcknowledging && isAfter(segment.acknowledged, flow.acknowledged));
        flow.hasData = true;
        flow.nextSequence = next;
        flow.newDataAt = now;
        return;
    }
    // Reordered packets arrive within a few milliseconds, retransmissions later.
    if (now - flow.newDataAt < reorderingWindow)
        return;
    observation.isRetransmission = true;
    m_responses.noteRetransmission(flow.instance, now);
}

void FlowTracker::startWork(const core::FlowKey& key, TrackedFlow& flow, core::TimePoint now)
{
    if (flow.isWorking)
        return;
    flow.isWorking = true;
    flow.isResponding = false;
    flow.isAwaitingResponse = true;
    flow.isResponseMissing = false;
    flow.workStartedAt = now;
    flow.workEndsAt = now + flow.expectedWorkDuration;
    flow.workNumber = ++m_workCount;
    load(flow.instance).noteWorkStarted(now);
    m_workDeadlines.push({ flow.workEndsAt, key, flow.workNumber });
}

void FlowTracker::endWork(TrackedFlow& flow)
{
    if (!flow.isWorking)
        return;
    flow.isWorking = false;
    load(flow.instance).noteWorkEnded();
}

void FlowTracker::endOverdueWork(core::TimePoint now)
{
    while (!m_workDeadlines.empty() && m_workDeadlines.top().at <= now) {
        const auto deadline = m_workDeadlines.top();
        m_workDeadlines.pop();
        const auto found = m_flows.find(deadline.flow);
        if (found == m_flows.end() || found->second.workNumber != deadline.workNumber)
            continue;
        auto& flow = found->second;
        if (flow.isWorking && flow.workEndsAt > now) {
            m_workDeadlines.push({ flow.workEndsAt, deadline.flow, deadline.workNumber });
            continue;
        }
        endWork(flow);
        checkAnswer(found->first, flow, now);
    }
}

void FlowTracker::checkAnswer(const core::FlowKey& key, TrackedFlow& flow, core::TimePoint now)
{
    if (!flow.isAwaitingResponse || flow.isResponseMissing || !flow.isOpen)
        return;
    const auto answerDueAt = flow.workStartedAt + maxAnswerTime * flow.expectedWorkDuration;
    if (now < answerDueAt) {
        m_workDeadlines.push({ answerDueAt, key, flow.workNumber });
        return;
    }
    flow.isResponseMissing = true;
    if (!m_congestion.discards(flow.workStartedAt))
        m_unanswered.noteUnanswered(key.service, flow.instance, now);
}

void FlowTracker::expire(core::Duration idleTimeout, core::TimePoint now)
{
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const auto& flow = it->second;
        const bool isOver = now - flow.lastSeenAt > (flow.isOpen ? idleTimeout : maxUnopenedFlowAge)
            || now - flow.openedAt > m_limits.maxFlowAge;
        const auto entry = it++;
        if (isOver)
            remove(entry);
    }
}

std::vector<FlowSegment> FlowTracker::takeResettable(const std::function<bool(const TrackedFlow&)>& condition)
{
    std::vector<FlowSegment> segments;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const auto entry = it++;
        const auto& flow = entry->second;
        const bool isResettable = flow.isOpen && (!flow.isWorking || flow.isIdempotent);
        if (!isResettable || !condition(flow))
            continue;
        auto& segment = segments.emplace_back();
        segment.flow = entry->first;
        segment.token = flow.token;
        segment.acknowledged = flow.acknowledged;
        remove(entry);
    }
    return segments;
}

void FlowTracker::dropLoads(const upstream::InstanceDirectory& directory)
{
    std::erase_if(m_loads, [&](const auto& it) {
        if (directory.find(it.first))
            return false;
        m_responses.remove(it.first);
        m_unanswered.remove(it.first);
        return true;
    });
}

} // namespace ibisgw::direct
