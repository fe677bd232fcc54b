#include "ibisgw/balancer/ServicePlacement.h"

#include <algorithm>
#include <map>

namespace ibisgw::balancer {

using upstream::UpstreamState;

namespace {

// An upstream counts as near the mean load while it reports at most maxReportedLoadRatio times the mean of open flows
// plus reportedLoadSlackFlows. The slack keeps a group with few flows from placing streams away from their default
// upstream because of random variation.
constexpr double maxReportedLoadRatio = 1.015;
constexpr double reportedLoadSlackFlows = 10;

} // namespace

ServicePlacement::ServicePlacement(core::ServiceName service, const upstream::UpstreamRegistry& upstreams,
    const SelectorFactory& makeSelector, core::RandomSource& random)
    : m_service(std::move(service))
    , m_upstreams(upstreams)
    , m_selector(makeSelector(m_load, random))
{
}

void ServicePlacement::update(core::TimePoint now)
{
    if (m_appliedChangeCount != m_upstreams.changeCount()) {
        m_appliedChangeCount = m_upstreams.changeCount();
        rebuildDefaults(now);
        m_eligible = m_upstreams.eligible(m_service);
        m_isEvacuated = m_upstreams.isServiceEvacuated(m_service);
    }
    m_defaults.dropOldVersions(now);
    m_outliers.update(m_eligible, now);
}

void ServicePlacement::rebuildDefaults(core::TimePoint now)
{
    std::map<core::ZoneName, flow::ZoneUpstreams> zones;
    for (const auto& [id, record] : m_upstreams.records()) {
        const auto& it = record.announcement;
        if (it.service != m_service || it.state == UpstreamState::Stopped)
            continue;
        auto& zone = zones[it.zone];
        zone.zone = it.zone;
        zone.slots += it.slots;
        zone.upstreams.push_back(id);
    }
    std::vector<flow::ZoneUpstreams> list;
    list.reserve(zones.size());
    for (auto& [name, zone] : zones)
        list.push_back(std::move(zone));
    removeGoneUpstreams(list);
    m_defaults.setUpstreams(std::move(list), now);
}

void ServicePlacement::removeGoneUpstreams(const std::vector<flow::ZoneUpstreams>& zones)
{
    std::set<core::UpstreamId> present;
    for (const auto& zone : zones)
        present.insert(zone.upstreams.begin(), zone.upstreams.end());
    for (const auto& it : m_presentUpstreams) {
        if (present.contains(it))
            continue;
        m_load.forget(it);
        m_outliers.forget(it);
        m_selector->forget(it);
    }
    m_presentUpstreams = std::move(present);
}

double ServicePlacement::newWorkShare(core::UpstreamId upstream, core::TimePoint now) const
{
    const auto* record = m_upstreams.find(upstream);
    if (!record || record->announcement.service != m_service || m_outliers.isEjected(upstream, now)
        || m_upstreams.isZoneCutOff(record->announcement.zone, now))
        return 0;
    return m_upstreams.newWorkShare(upstream, now);
}

flow::DefaultPlacement::ShareOf ServicePlacement::shareOutside(
    const std::vector<core::UpstreamId>& excluded, core::TimePoint now) const
{
    return [this, &excluded, now](core::UpstreamId it) {
        return std::ranges::find(excluded, it) == excluded.end() ? newWorkShare(it, now) : 0.0;
    };
}

core::UpstreamId ServicePlacement::placeStream(
    std::uint64_t flowHash, const std::vector<core::UpstreamId>& excluded, bool hasRoom, core::TimePoint now)
{
    std::uint64_t total = 0;
    for (const auto& it : m_eligible) {
        const auto* record = m_upstreams.find(it);
        total += record ? record->announcement.openFlows : 0;
    }
    const auto isNearMean = [&](core::UpstreamId it) {
        const auto* record = m_upstreams.find(it);
        const auto mean = static_cast<double>(total) / static_cast<double>(m_eligible.size());
        return record && record->announcement.openFlows <= maxReportedLoadRatio * mean + reportedLoadSlackFlows;
    };
    return m_defaults.place(flowHash, shareOutside(excluded, now), isNearMean, hasRoom);
}

core::UpstreamId ServicePlacement::placeRequest(
    std::uint64_t flowHash, const std::vector<core::UpstreamId>& excluded, core::TimePoint now)
{
    const auto upstreams = m_defaults.candidatesFor(flowHash, shareOutside(excluded, now));
    std::vector<upstream::SelectionCandidate> candidates;
    candidates.reserve(upstreams.size());
    for (const auto& it : upstreams)
        candidates.push_back({ it, newWorkShare(it, now) });
    return m_selector->select(candidates, now);
}

} // namespace ibisgw::balancer
