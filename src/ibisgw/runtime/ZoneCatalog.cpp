#include "ibisgw/runtime/ZoneCatalog.h"

#include <algorithm>

namespace ibisgw::runtime {

ZoneCatalog::ZoneCatalog(const settings::DirectSettings& settings, const upstream::InstanceDirectory& directory,
    const sync::DirectorySubscriber& subscriber, const configuration::EvacuationOrders& orders)
    : m_settings(settings)
    , m_directory(directory)
    , m_subscriber(subscriber)
    , m_orders(orders)
{
}

// An evacuated zone is known even if it is no longer listed or seen; otherwise its evacuation could not be finished. A
// zone with upstreams is known even if the list in the settings lacks it, because the list may be older.
ZoneStatus ZoneCatalog::statusOf(const core::ZoneName& zone, core::TimePoint now) const
{
    const bool isListed = std::ranges::find(m_settings.zones, zone) != m_settings.zones.end();
    if (isListed || m_orders.newest().evacuations.contains(zone) || isSeen(zone, now))
        return ZoneStatus::Known;
    return m_settings.zones.empty() ? ZoneStatus::Unseen : ZoneStatus::NotFound;
}

bool ZoneCatalog::isSeen(const core::ZoneName& zone, core::TimePoint now) const
{
    if (zone == m_settings.zone || !m_subscriber.currentControllersIn(zone, now).empty())
        return true;
    return std::ranges::any_of(
        m_directory.records(), [&zone](const auto& it) { return it.second.report.zone == zone; });
}

} // namespace ibisgw::runtime
