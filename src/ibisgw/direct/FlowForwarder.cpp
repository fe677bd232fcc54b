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
    { ForwardReason::ConfigurationUnconfirmed, "configuration_unconfirmed" },
    { ForwardReason::NoRoute, "no_route" },
    { ForwardReason::NoUpstream, "no_upstream" },
    { ForwardReason::UnknownToken, "unknown_token" },
    { ForwardReason::UpstreamGone, "upstream_gone" },
    { ForwardReason::UpstreamUnresponsive, "upstream_unresponsive" },
    { ForwardReason::LateCopy, "late_copy" },
    { ForwardReason::ZoneEvacuated, "zone_evacuated" },
    { ForwardReason::LinkFull, "link_full" },
    { ForwardReason::UpstreamCold, "upstream_cold" },
} };

constexpr core::Duration expiryInterval = std::chrono::milliseconds(500);

// When an upstream is lost, its flows are searched at once and then repeatedly for this time, because requests in
// progress and the grace period of an upstream that has announced its end delay the reset of some flows.
constexpr core::Duration lostFlowSearchInterval = std::chrono::milliseconds(250);
constexpr core::Duration lostFlowSearchDuration = std::chrono::milliseconds(1000);

// Callers number the copies of an opening packet in this field.
bool isCopy(const FlowSegment& opening)
{
    return opening.acknowledged > 0;
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

bool mayBecomeForwardable(ForwardReason reason, bool hasCompleteDirectory)
{
    if (reason == ForwardReason::NoUpstream)
        return !hasCompleteDirectory;
    return reason == ForwardReason::NoConfiguration || reason == ForwardReason::UnknownToken;
}

FlowForwarder::FlowForwarder(ForwarderOptions options, const upstream::InstanceDirectory& directory,
    const InstanceSelector& selector, core::RandomSource& random)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_admission(m_options.linkBytesPerSecond)
    , m_silenceLimit(directory, m_responses)
    , m_flows(m_options.limits, m_responses, m_congestion)
    , m_placer(m_options.zone, directory, selector, random, m_flows, m_responses, m_congestion)
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
    m_flows.setRoutes(m_configuration->routes);
    m_admission.setRoutes(m_configuration->routes);
    m_placer.coldStarts().setServices(m_configuration->services);
    return true;
}

bool FlowForwarder::setEvacuations(upstream::ZoneEvacuations evacuations)
{
    if (evacuations.revision <= this->evacuations().revision)
        return false;
    m_placer.setEvacuations(std::move(evacuations));
    return true;
}

ForwardDecision FlowForwarder::handle(const FlowSegment& segment, core::TimePoint now)
{
    const auto found = m_routes.find(segment.flow.service);
    const auto* route = found == m_routes.end() ? nullptr : found->second;
    auto decision = decide(segment, route, now);
    ++m_counts[static_cast<std::size_t>(decision.reason)];
    if (segment.payloadBytes > 0)
        decision.egressClass = route ? dataClassOf(route->kind) : EgressClass::Interactive;
    return decision;
}

ForwardDecision FlowForwarder::decide(const FlowSegment& segment, const Route* route, core::TimePoint now)
{
    if (!segment.isOpening)
        return continueFlow(segment, route, now);
    if (!m_configuration)
        return { ForwardAction::Drop, ForwardReason::NoConfiguration };
    if (!m_isPlacing)
        return { ForwardAction::Reset, ForwardReason::ConfigurationUnconfirmed };
    if (!route)
        return { ForwardAction::Reset, ForwardReason::NoRoute };
    if (isRejected(segment, *route, now))
        return { isCopy(segment) ? ForwardAction::Drop : ForwardAction::Reset, ForwardReason::LinkFull };
    return open(segment, *route, now);
}

// A copy of a known flow's opening packet is never rejected, since an upstream may have accepted the flow. The original
// of any other copy was probably lost on a full link. Such a copy is dropped and not reset: another balancer may have
// forwarded the original.
bool FlowForwarder::isRejected(const FlowSegment& segment, const Route& route, core::TimePoint now)
{
    return m_flows.find(segment.flow) == m_flows.end() && !m_admission.admits(route, now);
}

ForwardDecision FlowForwarder::notPlaced(bool wasPlaced) const
{
    // The upstream that took the original may have accepted the flow, which a reset would break.
    if (m_placer.isServiceCold())
        return { wasPlaced ? ForwardAction::Drop : ForwardAction::Reset, ForwardReason::UpstreamCold };
    const auto reason = m_placer.isServiceEvacuated() ? ForwardReason::ZoneEvacuated : ForwardReason::NoUpstream;
    return { ForwardAction::Reset, reason };
}

// A caller retransmits its opening packet when it has received no response. The upstream selected first is then full,
// gone or unreachable, so the retransmission goes to another one. The flow belongs to the upstream whose response the
// caller acknowledges.
ForwardDecision FlowForwarder::open(const FlowSegment& segment, const Route& route, core::TimePoint now)
{
    std::optional<upstream::InstanceId> silent;
    const auto found = m_flows.find(segment.flow);
    const bool wasPlaced = found != m_flows.end();
    if (wasPlaced) {
        auto& flow = found->second;
        if (flow.isOpen && now - flow.openedAt < FlowTracker::maxUnopenedFlowAge)
            return { ForwardAction::Drop, ForwardReason::LateCopy };
        if (!flow.isOpen && isCopy(segment)) {
            if (!m_congestion.isCongested(now))
                m_flows.load(flow.instance).noteOpenUnanswered(now);
            m_responses.noteRetransmission(flow.instance, now);
            silent = flow.instance;
        }
        m_flows.remove(found);
    }
    const auto* record = m_placer.place(segment.flow, route, silent, now);
    if (!record)
        return notPlaced(wasPlaced);
    auto decision = forwardTo(*record, silent ? ForwardReason::PlacedAgain : ForwardReason::Placed);
    const auto& chosen = m_flows.load(record->report.id);
    decision.candidates = static_cast<std::uint32_t>(m_placer.candidateCount());
    decision.inProgress = chosen.inProgress();
    decision.openFlows = chosen.openFlows();
    auto& flow = m_flows.findOrAdd(segment.flow, *record, &route, now)->second;
    flow.isPlacedHere = true;
    m_admission.noteOpened(segment.flow, route, now);
    m_flows.startWork(segment.flow, flow, now);
    m_flows.load(record->report.id).noteOpenSent(now);
    return decision;
}

ForwardDecision FlowForwarder::continueFlow(const FlowSegment& segment, const Route* route, core::TimePoint now)
{
    const auto found = m_flows.find(segment.flow);
    if (found == m_flows.end() || !found->second.isOpen)
        return resolveToken(segment, route, now);
    // A second upstream may have responded later to a retransmitted opening packet; the flow stays with the first one.
    const auto* record = m_directory.findByToken(found->second.token);
    return record ? forwardOpen(found, *record, segment, now) : resolveToken(segment, route, now);
}

ForwardDecision FlowForwarder::forwardOpen(
    FlowTracker::Entry entry, const InstanceRecord& record, const FlowSegment& segment, core::TimePoint now)
{
    auto decision = forwardTo(record, ForwardReason::OpenFlow);
    const auto observation = m_flows.observe(entry->second, segment, now);
    if (!observation.isRetransmission)
        m_admission.noteForwarded(segment.flow, segment.payloadBytes);
    decision.isRetransmission = observation.isRetransmission;
    decision.startsRequest = observation.startsRequest;
    decision.responseTime = observation.responseTime;
    if (isLost(record, segment, now)) {
        decision.action = ForwardAction::Reset;
        decision.reason = ForwardReason::UpstreamUnresponsive;
    }
    if (segment.isReset || decision.action == ForwardAction::Reset)
        m_flows.remove(entry);
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
            m_flows.remove(known);
        return { segment.isReset ? ForwardAction::Drop : ForwardAction::Reset, ForwardReason::UpstreamGone };
    }
    if (known != m_flows.end() && known->second.instance != record->report.id)
        m_flows.remove(known);
    const auto entry = m_flows.findOrAdd(segment.flow, *record, route, now);
    auto& flow = entry->second;
    std::optional<core::Duration> openTime;
    if (!flow.isOpen && flow.isPlacedHere) {
        openTime = now - flow.openedAt;
        m_placer.confirm(segment.flow);
        m_flows.load(record->report.id).noteOpenAnswered(now);
        m_responses.noteProgress(record->report.id);
    }
    flow.isOpen = true;
    flow.token = record->token;
    auto decision = forwardOpen(entry, *record, segment, now);
    decision.openTime = openTime;
    return decision;
}

// Whether data would go to an upstream that responds neither to callers nor to probes.
bool FlowForwarder::isLost(const InstanceRecord& record, const FlowSegment& segment, core::TimePoint now) const
{
    return segment.payloadBytes > 0 && !segment.isReset && isLost(record, now);
}

// A draining upstream never counts as lost, because it may close its listener, and so stop responding to probes, before
// its flows end. One that is only silent doesn't soon after a congestion of this balancer's link.
bool FlowForwarder::isLost(const InstanceRecord& record, core::TimePoint now) const
{
    const auto id = record.report.id;
    if (record.report.state != InstanceState::Ready || !m_responses.isUnresponsive(id))
        return false;
    return !m_responses.isSilent(id) || !m_congestion.isRecovering(now);
}

void FlowForwarder::noteProbe(upstream::InstanceId id, ProbeResult result, core::TimePoint now)
{
    const auto* record = m_directory.find(id);
    if (record && result == ProbeResult::Refused)
        m_placer.coldStarts().noteOutage(*record, now);
    const bool isOverLimit = result == ProbeResult::NoAnswer && m_silenceLimit.isReachedFor(id);
    if (isOverLimit)
        ++m_probesOverLimit;
    if (isOverLimit || result == ProbeResult::NotSent)
        m_responses.discardProbe(id, now);
    else
        m_responses.noteProbe(id, result, now);
}

void FlowForwarder::tick(core::TimePoint now)
{
    m_admission.expire(now);
    m_flows.endOverdueWork(now);
    applyOverdueMarks(now);
    if (now >= m_nextExpiry)
        expire(now);
}

// An overdue mark comes from another daemon. It only makes this balancer probe the upstream; flows are reset only if
// these probes fail.
void FlowForwarder::applyOverdueMarks(core::TimePoint now)
{
    const auto& changes = m_directory.byChange();
    for (auto it = changes.upper_bound(m_lastAppliedChange); it != changes.end(); ++it) {
        const auto& record = *m_directory.find(it->second);
        if (record.isOverdue && record.report.state == InstanceState::Ready)
            m_responses.noteSuspected(it->second, now);
        else
            m_responses.noteReporting(it->second, now);
    }
    m_lastAppliedChange = m_directory.newestChange();
}

void FlowForwarder::expire(core::TimePoint now)
{
    m_nextExpiry = now + expiryInterval;
    m_flows.expire(m_configuration ? m_configuration->idleTimeout : m_options.limits.maxFlowAge, now);
    m_flows.dropLoads(m_directory);
    m_placer.expire(now);
}

std::vector<FlowSegment> FlowForwarder::takeLostFlows(core::TimePoint now)
{
    const auto losses = m_directory.retirementCount() + m_responses.lossCount();
    if (losses != m_lastLossCount) {
        m_lastLossCount = losses;
        m_nextLostFlowSearch = now;
        m_lostFlowSearchEnd = now + lostFlowSearchDuration;
    }
    if (now < m_nextLostFlowSearch || now > m_lostFlowSearchEnd)
        return {};
    m_nextLostFlowSearch = now + lostFlowSearchInterval;
    return m_flows.takeResettable([&](const TrackedFlow& it) { return isLost(it, now); });
}

bool FlowForwarder::isLost(const TrackedFlow& flow, core::TimePoint now) const
{
    if (const auto* record = m_directory.findByToken(flow.token))
        return isLost(*record, now);
    return m_directory.isRetired(flow.token) && !m_directory.mayStillRun(flow.token, now);
}

} // namespace ibisgw::direct
