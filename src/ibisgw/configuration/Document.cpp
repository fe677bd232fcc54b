#include "ibisgw/configuration/Document.h"

#include <algorithm>

namespace ibisgw::configuration {

const RequestKind* Service::findKind(core::KindId id) const
{
    const auto it = std::ranges::find(kinds, id, &RequestKind::id);
    return it == kinds.end() ? nullptr : &*it;
}

const Service* Document::findService(const core::Endpoint& address) const
{
    for (const auto& service : services) {
        if (std::ranges::find(service.addresses, address) != service.addresses.end())
            return &service;
    }
    return nullptr;
}

bool Document::hasZone(const core::ZoneName& zone) const
{
    return std::ranges::find(zones, zone, &Zone::name) != zones.end();
}

bool Document::isEvacuated(const core::ZoneName& zone) const
{
    return std::ranges::find(evacuatedZones, zone) != evacuatedZones.end();
}

} // namespace ibisgw::configuration
