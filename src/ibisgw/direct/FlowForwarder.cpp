#include "ibisgw/direct/FlowForwarder.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::direct {

namespace {

using upstream::InstanceRecord;
using upstream::InstanceState;

constexpr core::NameTable<ForwardReason, forwardReasonCount> reasonNames { {
    { ForwardReason::Placed, "placed" },
    { ForwardReason::PlacedAgain, "placed_again" },
    { ForwardReason::OpenFlow, "open_flow" },
    { ForwardReason::NoConfiguration, "no_configuration" },
    { ForwardReason::NoRoute, "no_route" },
    { ForwardReason::NoUpstream, "no_upstream" },
    { ForwardReason::UnknownToken, "unknown_token" },
    { ForwardReason::UpstreamGone, "upstream_gone" },
    { ForwardReason::UpstreamUnresponsive, "upstream_unresponsive" },
    { ForwardReason::LateCopy, "late_copy" },
} };

constexpr core::Duration expiryInterval = std::chrono::milliseconds(500);

// A flow whose caller has closed it or whose opening packet stayed unanswered; later packets use the token.
constexpr core::Duration unopenedFlowAge = std::chrono::seconds(2);

// A refusal reaches its caller no sooner; flows that are opened at shorter intervals are opened side by side.
constexpr core::Duration refusalTime = std::chrono::milliseconds(4);

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

ForwardDecision forwardTo(const InstanceRecord& record, ForwardReason reason)
{
    return { ForwardAction::Forward, reason, record.report.address, record.report.id, record.token };
}

} // namespace

std::string_view nameOf(ForwardReason reason)
{
    return reasonNames.nameOf(reason);
}

FlowForwarder::FlowForwarder(ForwarderOptions options, const upstream::InstanceDirectory& directory,
    const InstanceSelector& selector, core::RandomSource& random)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_selector(selector)
    , m_random(random)
{
}

bool FlowForwarder::apply(std::shared_ptr<const RouteConfiguration> configuration, core::TimePoint)
{
    if (configuration->version <= version())
        return false;
    m_configuration = std::move(configuration);
    m_routes.clear();
    for (const auto& it : m_configuration->routes)
        m_routes.emplace(it.address, &it);
    return true;
}

const InstanceLoad* FlowForwarder::loadOf(upstream::InstanceId id) const
{
    const auto found = m_loads.find(id);
    return found == m_loads.end() ? nullptr : &found->second;
}

ForwardDecision FlowForwarder::handle(const FlowSegment& segment, core::TimePoint now)
{
    const auto found = m_routes.find(segment.flow.service);
    const auto* route = found == m_routes.end() ? nullptr : found->second;
    auto decision = decide(segment, route, now);
    ++m_counts[static_cast<std::size_t>(decision.reason)];
    if (segment.payloadBytes > 0) {
        const bool isBulk = route && route->kind == RouteKind::Upload;
        decision.egressClass = isBulk ? EgressClass::Bulk : EgressClass::Interactive;
    }
    return decision;
}

ForwardDecision FlowForwarder::decide(const FlowSegment& segment, const Route* route, core::TimePoint now)
{
    if (!segment.isOpening)
        return continueFlow(segment, route, now);
    if (!m_configuration)
        return { ForwardAction::Drop, ForwardReason::NoConfiguration };
    if (!route)
        return { ForwardAction::Reset, ForwardReason::NoRoute };
    return open(segment, *route, now);
}

// A caller repeats its opening packet when no upstream has answered. The first choice is then full, gone or cut
// off, so a copy goes to another one; whichever the caller acknowledges has the flow.
ForwardDecision FlowForwarder::open(const FlowSegment& segment, const Route& route, core::TimePoint now)
{
    std::optional<upstream::InstanceId> excluded;
    const auto found = m_flows.find(segment.flow);
    if (found != m_flows.end()) {
        auto& flow = found->second;
        if (flow.isOpen && now - flow.openedAt < unopenedFlowAge)
            return { ForwardAction::Drop, ForwardReason::LateCopy };
        if (!flow.isOpen && segment.acknowledged > 0) {
            load(flow.instance).unanswered(now);
            m_responses.noteRepeated(flow.instance, now);
            excluded = flow.instance;
        }
        forget(found);
    }
    // A caller whose open was refused opens another flow at once.
    const auto* record = choose(route, excluded ? excluded : unconfirmedInstanceOf(segment.flow, now), now);
    if (!record)
        return { ForwardAction::Reset, ForwardReason::NoUpstream };
    auto decision = forwardTo(*record, excluded ? ForwardReason::PlacedAgain : ForwardReason::Placed);
    const auto& chosen = load(record->report.id);
    decision.candidates = static_cast<std::uint32_t>(m_candidates.size());
    decision.inProgress = chosen.inProgress();
    decision.openFlows = chosen.openFlows();
    auto& flow = remember(segment.flow, *record, &route, now)->second;
    flow.placedHere = true;
    startWork(segment.flow, flow, now);
    load(record->report.id).openSent(now);
    m_unconfirmedOpens[segment.flow.caller.address] = { segment.flow, record->report.id, now };
    return decision;
}

std::optional<upstream::InstanceId> FlowForwarder::unconfirmedInstanceOf(
    const core::FlowKey& flow, core::TimePoint now) const
{
    const auto found = m_unconfirmedOpens.find(flow.caller.address);
    if (found == m_unconfirmedOpens.end())
        return std::nullopt;
    const auto age = now - found->second.at;
    if (age < refusalTime || age > unopenedFlowAge)
        return std::nullopt;
    return found->second.instance;
}

void FlowForwarder::confirm(const core::FlowKey& flow)
{
    const auto found = m_unconfirmedOpens.find(flow.caller.address);
    if (found != m_unconfirmedOpens.end() && found->second.flow == flow)
        m_unconfirmedOpens.erase(found);
}

ForwardDecision FlowForwarder::continueFlow(const FlowSegment& segment, const Route* route, core::TimePoint now)
{
    const auto found = m_flows.find(segment.flow);
    if (found == m_flows.end() || !found->second.isOpen)
        return resolveToken(segment, route, now);
    // A second upstream may have answered a copy of the opening packet later; the flow stays with the first.
    const auto* record = m_directory.findByToken(found->second.token);
    return record ? forwardOpen(found, *record, segment, now) : resolveToken(segment, route, now);
}

ForwardDecision FlowForwarder::forwardOpen(
    FlowMap::iterator entry, const InstanceRecord& record, const FlowSegment& segment, core::TimePoint now)
{
    auto decision = forwardTo(record, ForwardReason::OpenFlow);
    observe(entry->second, segment, decision, now);
    if (isLost(record, segment)) {
        decision.action = ForwardAction::Reset;
        decision.reason = ForwardReason::UpstreamUnresponsive;
    }
    if (segment.isReset || decision.action == ForwardAction::Reset)
        forget(entry);
    return decision;
}

ForwardDecision FlowForwarder::resolveToken(const FlowSegment& segment, const Route* route, core::TimePoint now)
{
    const auto* record = segment.token == 0 ? nullptr : m_directory.findByToken(segment.token);
    const auto known = m_flows.find(segment.flow);
    if (!record) {
        if (!m_directory.isRetired(segment.token) || m_directory.mayStillRun(segment.token, now))
            return { ForwardAction::Drop, ForwardReason::UnknownToken };
        if (known != m_flows.end())
            forget(known);
        return { segment.isReset ? ForwardAction::Drop : ForwardAction::Reset, ForwardReason::UpstreamGone };
    }
    if (known != m_flows.end() && known->second.instance != record->report.id)
        forget(known);
    const auto entry = remember(segment.flow, *record, route, now);
    auto& flow = entry->second;
    std::optional<core::Duration> openTime;
    if (!flow.isOpen && flow.placedHere) {
        openTime = now - flow.openedAt;
        confirm(segment.flow);
        load(record->report.id).answered();
        m_responses.noteProgress(record->report.id);
    }
    flow.isOpen = true;
    flow.token = record->token;
    auto decision = forwardOpen(entry, *record, segment, now);
    decision.openTime = openTime;
    return decision;
}

// Data for an upstream that answers neither callers nor probes waits in vain. A draining upstream may have closed its
// listener before its flows, so it is not judged.
bool FlowForwarder::isLost(const InstanceRecord& record, const FlowSegment& segment) const
{
    return segment.payloadBytes > 0 && !segment.isReset && record.report.state == InstanceState::Ready
        && m_responses.isUnresponsive(record.report.id);
}

// Work starts with data of the caller and has ended once the caller acknowledges new data of the upstream, or all of a
// long answer.
void FlowForwarder::observe(Flow& flow, const FlowSegment& segment, ForwardDecision& decision, core::TimePoint now)
{
    flow.lastSeenAt = now;
    observeSequence(flow, segment, decision, now);
    const bool isFirst = flow.acknowledged == 0;
    const bool hasNewAnswer = !isFirst && segment.isAcknowledging && isAfter(segment.acknowledged, flow.acknowledged);
    if (segment.isAcknowledging && (isFirst || hasNewAnswer))
        flow.acknowledged = segment.acknowledged;
    if (hasNewAnswer)
        observeAnswer(segment.flow, flow, decision, now);
    const bool followsLongAnswer = flow.isAnswering && decision.startsWork;
    if (segment.isFinishing || segment.isReset || followsLongAnswer)
        endWork(flow);
    if (segment.payloadBytes > 0 && !flow.isWorking && !segment.isFinishing)
        startWork(segment.flow, flow, now);
}

void FlowForwarder::observeAnswer(
    const core::FlowKey& key, Flow& flow, ForwardDecision& decision, core::TimePoint now)
{
    m_responses.noteProgress(flow.instance);
    load(flow.instance).progressed();
    if (!flow.isWorking)
        return;
    if (!flow.isAnswering)
        decision.answerTime = now - flow.workStartedAt;
    if (!flow.hasLongAnswer) {
        endWork(flow);
        return;
    }
    flow.workEndsAt = now + answerPause;
    if (!flow.isAnswering)
        m_workDeadlines.push({ flow.workEndsAt, key, flow.workNumber });
    flow.isAnswering = true;
}

void FlowForwarder::observeSequence(
    Flow& flow, const FlowSegment& segment, ForwardDecision& decision, core::TimePoint now)
{
    if (segment.payloadBytes == 0)
        return;
    const auto next = segment.sequence + segment.payloadBytes;
    if (!flow.hasData || isAfter(next, flow.nextSequence)) {
        decision.startsWork = !flow.hasData || !flow.isWorking || flow.isAnswering
            || (segment.isAcknowledging && isAfter(segment.acknowledged, flow.acknowledged));
        flow.hasData = true;
        flow.nextSequence = next;
        flow.newDataAt = now;
        return;
    }
    // Packets that overtake each other arrive within a few milliseconds; callers repeat after a longer time.
    if (now - flow.newDataAt < reorderingTime)
        return;
    decision.isRepeated = true;
    m_responses.noteRepeated(flow.instance, now);
}

void FlowForwarder::startWork(const core::FlowKey& key, Flow& flow, core::TimePoint now)
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

void FlowForwarder::endWork(Flow& flow)
{
    if (!flow.isWorking)
        return;
    flow.isWorking = false;
    load(flow.instance).workEnded();
}

FlowForwarder::FlowMap::iterator FlowForwarder::remember(
    const core::FlowKey& key, const InstanceRecord& record, const Route* route, core::TimePoint now)
{
    // The packets of a forgotten flow still carry its token.
    if (m_flows.size() >= m_options.maxFlows && !m_flows.contains(key))
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
    load(flow.instance).flowOpened();
    return entry;
}

void FlowForwarder::forget(FlowMap::iterator entry)
{
    endWork(entry->second);
    load(entry->second.instance).flowClosed();
    m_flows.erase(entry);
}

const core::ServiceName& FlowForwarder::drawService(const Route& route)
{
    auto point = m_random.below(route.totalWeight());
    for (const auto& it : route.targets) {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return route.targets.back().service;
}

const InstanceRecord* FlowForwarder::choose(
    const Route& route, std::optional<upstream::InstanceId> excluded, core::TimePoint now)
{
    const auto& service = drawService(route);
    collectCandidates(service, excluded, now);
    if (m_candidates.empty() && excluded)
        collectCandidates(service, std::nullopt, now);
    const auto* candidate = m_selector.select(m_candidates, now);
    return candidate ? candidate->record : nullptr;
}

void FlowForwarder::collectCandidates(
    const core::ServiceName& service, std::optional<upstream::InstanceId> excluded, core::TimePoint now)
{
    m_candidates.clear();
    for (const auto& [id, record] : m_directory.records()) {
        const auto& report = record.report;
        if (report.state != InstanceState::Ready || report.service != service || id == excluded)
            continue;
        if (m_directory.sharesToken(record))
            continue;
        m_candidates.push_back({ &record, &load(id), report.zone == m_options.zone, isDoubtful(record, now) });
    }
}

bool FlowForwarder::isDoubtful(const InstanceRecord& record, core::TimePoint now) const
{
    const auto* load = loadOf(record.report.id);
    return record.isOverdue || m_responses.isUnresponsive(record.report.id)
        || (load && (load->isAvoided(now) || load->isUnconfirmed(now)));
}

void FlowForwarder::tick(core::TimePoint now)
{
    endOverdueWork(now);
    if (now >= m_nextExpiry)
        expireFlows(now);
}

void FlowForwarder::endOverdueWork(core::TimePoint now)
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

void FlowForwarder::expireFlows(core::TimePoint now)
{
    m_nextExpiry = now + expiryInterval;
    const auto idleTimeout = m_configuration ? m_configuration->idleTimeout : m_options.maxFlowAge;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        const auto& flow = it->second;
        const bool isOver = now - flow.lastSeenAt > (flow.isOpen ? idleTimeout : unopenedFlowAge)
            || now - flow.openedAt > m_options.maxFlowAge;
        const auto entry = it++;
        if (isOver)
            forget(entry);
    }
    std::erase_if(m_unconfirmedOpens, [now](const auto& it) { return now - it.second.at > unopenedFlowAge; });
    std::erase_if(m_loads, [this](const auto& it) {
        if (m_directory.find(it.first))
            return false;
        m_responses.forget(it.first);
        return true;
    });
}

} // namespace ibisgw::direct
