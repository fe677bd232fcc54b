#include "ibisgw/configuration/Document.h"

#include "ibisgw/core/NameTable.h"

#include <algorithm>

namespace ibisgw::configuration {

namespace {

constexpr core::NameTable<Placement, 2> placementNames { {
    { Placement::Sticky, "sticky" },
    { Placement::Load, "load" },
} };

constexpr core::NameTable<PartitionBehaviour, 2> partitionBehaviourNames { {
    { PartitionBehaviour::Serve, "serve" },
    { PartitionBehaviour::Refuse, "refuse" },
} };

} // namespace

std::string_view nameOf(Placement placement)
{
    return placementNames.nameOf(placement);
}

std::string_view nameOf(PartitionBehaviour behaviour)
{
    return partitionBehaviourNames.nameOf(behaviour);
}

std::optional<Placement> placementFromName(std::string_view name)
{
    return placementNames.valueOf(name);
}

std::optional<PartitionBehaviour> partitionBehaviourFromName(std::string_view name)
{
    return partitionBehaviourNames.valueOf(name);
}

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

} // namespace ibisgw::configuration
