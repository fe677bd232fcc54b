#include "ibisgw/direct/SilenceLimit.h"

#include <algorithm>
#include <map>

namespace ibisgw::direct {

namespace {

// This many upstreams of a service may always be found unresponsive: small numbers fail independently of each other.
constexpr std::size_t alwaysAllowed = 3;

// At the limit, more than one in this many ready upstreams of every zone is silent.
constexpr std::size_t silentShareDivisor = 10;

struct ZoneCount {
    std::size_t ready { 0 };
    std::size_t silent { 0 };
};

} // namespace

SilenceLimit::SilenceLimit(const upstream::InstanceDirectory& directory, const ResponseMonitor& responses)
    : m_directory(directory)
    , m_responses(responses)
{
}

bool SilenceLimit::isReachedFor(upstream::InstanceId id) const
{
    const auto* judged = m_directory.find(id);
    if (!judged || m_responses.isUnresponsive(id))
        return false;
    // Spares the search of the directory while few upstreams are silent.
    if (m_responses.silentCount() < alwaysAllowed)
        return false;
    std::map<core::ZoneName, ZoneCount> zones;
    std::size_t silent = 0;
    for (const auto& [other, record] : m_directory.records()) {
        const auto& report = record.report;
        if (report.service != judged->report.service || report.state != upstream::InstanceState::Ready)
            continue;
        const bool isSilent = other == id || m_responses.isSilent(other);
        auto& zone = zones[report.zone];
        ++zone.ready;
        zone.silent += isSilent ? 1 : 0;
        silent += isSilent ? 1 : 0;
    }
    const auto isOverShare = [](const auto& it) { return it.second.silent * silentShareDivisor > it.second.ready; };
    return silent > alwaysAllowed && std::ranges::all_of(zones, isOverShare);
}

} // namespace ibisgw::direct
