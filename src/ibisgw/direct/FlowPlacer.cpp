#include "ibisgw/direct/FlowPlacer.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

using upstream::InstanceRecord;
using upstream::InstanceState;

// Minimum time in which a refusal by an upstream's VM reaches the caller. A caller that opens another flow sooner opens
// flows concurrently and hasn't been refused.
constexpr core::Duration minRefusalDelay = std::chrono::milliseconds(4);

// An opening packet that hasn't been answered after several round trips between zones counts as evidence for the
// failure of a zone. Shorter than the time after which a single upstream is avoided, because several of them must be
// silent.
constexpr core::Duration silenceThreshold = std::chrono::milliseconds(50);

// Older silence says nothing: the caller may have given up, or its later packets reach another balancer.
constexpr core::Duration maxSilence = std::chrono::seconds(1);

} // namespace

FlowPlacer::FlowPlacer(core::ZoneName zone, const upstream::InstanceDirectory& directory,
    const InstanceSelector& selector, core::RandomSource& random, FlowTracker& flows, const ResponseMonitor& responses,
    const LinkCongestion& congestion)
    : m_zone(std::move(zone))
    , m_directory(directory)
    , m_selector(selector)
    , m_random(random)
    , m_flows(flows)
    , m_responses(responses)
    , m_congestion(congestion)
    , m_coldStarts(directory)
{
}

void FlowPlacer::setEvacuations(upstream::ZoneEvacuations evacuations)
{
    m_evacuations = std::move(evacuations);
    indexUpstreams();
}

const InstanceRecord* FlowPlacer::place(
    const core::FlowKey& flow, const Route& route, std::optional<upstream::InstanceId> silent, core::TimePoint now)
{
    // A caller whose open was refused opens another flow at once, which must not go to the same upstream.
    const auto excluded = silent ? silent : unconfirmedInstanceOf(flow, now);
    const auto& service = drawService(route);
    const auto& upstreams = upstreamsOf(service);
    const auto& records = upstreams.records;
    m_isServiceEvacuated = records.empty() && upstreams.evacuated > 0;
    collectCandidates(records, excluded, now);
    if (m_candidates.empty() && excluded)
        collectCandidates(records, std::nullopt, now);
    m_isServiceCold = m_candidates.empty() && !records.empty();
    suspectFailedZones(service, records, now);
    const auto* candidate = m_selector.select(m_candidates, now);
    if (!candidate)
        return nullptr;
    m_coldStarts.notePlaced(*candidate->record, now);
    m_zoneOutages.notePlaced(service, candidate->record->report.zone, now);
    m_unconfirmedOpens[flow.caller.address] = { flow, candidate->record->report.id, now };
    return candidate->record;
}

const core::ServiceName& FlowPlacer::drawService(const Route& route)
{
    auto point = m_random.below(route.totalWeight());
    for (const auto& it : route.targets) {
        if (point < it.weight)
            return it.service;
        point -= it.weight;
    }
    return route.targets.back().service;
}

// The directory holds the upstreams of all services and changes far less often than flows are opened.
const FlowPlacer::ServiceUpstreams& FlowPlacer::upstreamsOf(const core::ServiceName& service)
{
    if (m_indexedChange != m_directory.newestChange() || m_indexedRemovals != m_directory.removalCount())
        indexUpstreams();
    return m_upstreamsByService[service];
}

void FlowPlacer::indexUpstreams()
{
    m_indexedChange = m_directory.newestChange();
    m_indexedRemovals = m_directory.removalCount();
    m_upstreamsByService.clear();
    for (const auto& [id, record] : m_directory.records()) {
        const auto& report = record.report;
        if (report.state != InstanceState::Ready || m_directory.sharesToken(record))
            continue;
        auto& upstreams = m_upstreamsByService[report.service];
        if (m_evacuations.contains(report.zone))
            ++upstreams.evacuated;
        else
            upstreams.records.push_back(&record);
    }
}

void FlowPlacer::collectCandidates(
    const Records& records, std::optional<upstream::InstanceId> excluded, core::TimePoint now)
{
    m_candidates.clear();
    const bool isLimited = !records.empty() && m_coldStarts.isLimited(records.front()->report.service);
    for (const auto* record : records) {
        const auto& report = record->report;
        if (report.id == excluded)
            continue;
        const auto& load = m_flows.load(report.id);
        if (isLimited && isTooCold(*record, load, now))
            continue;
        m_candidates.push_back({ record, &load, report.zone == m_zone, isSuspect(*record, load, now) });
    }
}

void FlowPlacer::suspectFailedZones(const core::ServiceName& service, const Records& records, core::TimePoint now)
{
    const auto silent = std::ranges::count_if(m_candidates, [&](const auto& it) { return isSilent(*it.load, now); });
    const bool mayHaveFailed = static_cast<std::size_t>(silent) >= ZoneOutageMonitor::minSilentUpstreams;
    if (!mayHaveFailed && m_zoneOutages.suspectedZones() == 0)
        return;
    m_zoneOutages.update(service, observe(records, now), now);
    for (auto& it : m_candidates) {
        const auto& zone = it.record->report.zone;
        if (m_zoneOutages.isSuspected(service, zone) && !m_zoneOutages.isTrialDue(service, zone, now))
            it.isSuspect = true;
    }
}

ZoneObservations FlowPlacer::observe(const Records& records, core::TimePoint now)
{
    ZoneObservations zones;
    for (const auto* record : records) {
        auto& zone = zones[record->report.zone];
        zone.lastProgressAt = std::max(zone.lastProgressAt, m_flows.load(record->report.id).lastProgressAt());
        zone.newestReportChange = std::max(zone.newestReportChange, record->lastReportChange);
    }
    for (const auto* record : records) {
        auto& zone = zones[record->report.zone];
        const auto& load = m_flows.load(record->report.id);
        if (isSilent(load, now) && *load.unconfirmedSince() > zone.lastProgressAt)
            ++zone.silentUpstreams;
    }
    return zones;
}

bool FlowPlacer::isSilent(const InstanceLoad& load, core::TimePoint now) const
{
    const auto since = load.unconfirmedSince();
    return since && now - m_congestion.countedFrom(*since) >= silenceThreshold && now - *since <= maxSilence;
}

bool FlowPlacer::isUnreachable(const InstanceRecord& record, const InstanceLoad& load, core::TimePoint now) const
{
    return m_responses.isUnresponsive(record.report.id) || load.isAvoided(now)
        || load.isUnconfirmed(now, m_congestion.clearAt());
}

bool FlowPlacer::isSuspect(const InstanceRecord& record, const InstanceLoad& load, core::TimePoint now) const
{
    return record.isOverdue || isUnreachable(record, load, now)
        || m_flows.unanswered().isFailing(record.report.id, now);
}

bool FlowPlacer::isTooCold(const InstanceRecord& record, const InstanceLoad& load, core::TimePoint now)
{
    if (isUnreachable(record, load, now))
        m_coldStarts.noteOutage(record, now);
    return !m_coldStarts.admits(record, now);
}

std::optional<upstream::InstanceId> FlowPlacer::unconfirmedInstanceOf(
    const core::FlowKey& flow, core::TimePoint now) const
{
    const auto found = m_unconfirmedOpens.find(flow.caller.address);
    if (found == m_unconfirmedOpens.end() || found->second.at < m_congestion.clearAt())
        return std::nullopt;
    const auto age = now - found->second.at;
    if (age < minRefusalDelay || age > FlowTracker::maxUnopenedFlowAge)
        return std::nullopt;
    return found->second.instance;
}

void FlowPlacer::confirm(const core::FlowKey& flow)
{
    const auto found = m_unconfirmedOpens.find(flow.caller.address);
    if (found != m_unconfirmedOpens.end() && found->second.flow == flow)
        m_unconfirmedOpens.erase(found);
}

void FlowPlacer::expire(core::TimePoint now)
{
    m_coldStarts.update(now);
    std::erase_if(
        m_unconfirmedOpens, [now](const auto& it) { return now - it.second.at > FlowTracker::maxUnopenedFlowAge; });
}

} // namespace ibisgw::direct
