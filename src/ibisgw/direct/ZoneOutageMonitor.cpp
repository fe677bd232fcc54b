#include "ibisgw/direct/ZoneOutageMonitor.h"

#include <algorithm>
#include <utility>

namespace ibisgw::direct {

namespace {

// Interval between the flows that try a suspected zone. Each is lost to its caller's first attempt while the zone is
// down.
constexpr core::Duration trialInterval = std::chrono::seconds(1);

} // namespace

bool ZoneOutageMonitor::hasRecovered(const Outage& outage, const ZoneObservation& zone)
{
    return zone.lastProgressAt > outage.suspectedAt || zone.newestReportChange > outage.reportChange;
}

void ZoneOutageMonitor::update(const core::ServiceName& service, const ZoneObservations& zones, core::TimePoint now)
{
    std::erase_if(
        m_outages, [&](const auto& it) { return it.first.first == service && !zones.contains(it.first.second); });
    std::vector<core::ZoneName> silent;
    std::size_t suspected = 0;
    for (const auto& [zone, observation] : zones) {
        const auto found = m_outages.find({ service, zone });
        if (found != m_outages.end() && hasRecovered(found->second, observation))
            end(found->first);
        else if (found != m_outages.end())
            ++suspected;
        else if (observation.silentUpstreams >= minSilentUpstreams)
            silent.push_back(zone);
    }
    const bool wouldSuspectAll = suspected + silent.size() == zones.size();
    for (const auto& zone : silent) {
        if (!wouldSuspectAll)
            begin({ service, zone }, zones.at(zone), now);
    }
    if (wouldSuspectAll)
        endAll(service, zones);
}

void ZoneOutageMonitor::endAll(const core::ServiceName& service, const ZoneObservations& zones)
{
    for (const auto& [zone, observation] : zones) {
        if (isSuspected(service, zone))
            end({ service, zone });
    }
}

void ZoneOutageMonitor::begin(const Key& key, const ZoneObservation& zone, core::TimePoint now)
{
    m_outages[key] = { now, zone.newestReportChange, now + trialInterval };
    m_changes.push_back({ key.first, key.second, true });
}

void ZoneOutageMonitor::end(const Key& key)
{
    m_changes.push_back({ key.first, key.second, false });
    m_outages.erase(Key(key));
}

bool ZoneOutageMonitor::isSuspected(const core::ServiceName& service, const core::ZoneName& zone) const
{
    return m_outages.contains({ service, zone });
}

bool ZoneOutageMonitor::isTrialDue(
    const core::ServiceName& service, const core::ZoneName& zone, core::TimePoint now) const
{
    const auto found = m_outages.find({ service, zone });
    return found != m_outages.end() && now >= found->second.nextTrial;
}

void ZoneOutageMonitor::notePlaced(const core::ServiceName& service, const core::ZoneName& zone, core::TimePoint now)
{
    const auto found = m_outages.find({ service, zone });
    if (found != m_outages.end())
        found->second.nextTrial = now + trialInterval;
}

std::vector<ZoneOutageChange> ZoneOutageMonitor::takeChanges()
{
    return std::exchange(m_changes, {});
}

} // namespace ibisgw::direct
