#pragma once

#include "ibisgw/configuration/EvacuationOrders.h"
#include "ibisgw/settings/DirectSettings.h"
#include "ibisgw/sync/DirectorySubscriber.h"
#include "ibisgw/upstream/InstanceDirectory.h"

namespace ibisgw::runtime {

enum class ZoneStatus : std::uint8_t {
    Known,
    NotFound, // the settings list the zones of the deployment without this one, and nothing in it is known
    Unseen, // the settings list no zones, and this controller knows no controller or upstream in this one
};

// The availability zones that a controller knows.
class ZoneCatalog {
public:
    ZoneCatalog(const settings::DirectSettings&, const upstream::InstanceDirectory&, const sync::DirectorySubscriber&,
        const configuration::EvacuationOrders&);

    ZoneStatus statusOf(const core::ZoneName&, core::TimePoint now) const;

private:
    bool isSeen(const core::ZoneName&, core::TimePoint now) const;

    const settings::DirectSettings& m_settings;
    const upstream::InstanceDirectory& m_directory;
    const sync::DirectorySubscriber& m_subscriber;
    const configuration::EvacuationOrders& m_orders;
};

} // namespace ibisgw::runtime
