#include "ibisgw/configuration/EvacuationOrder.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::configuration {

namespace {

constexpr core::NameTable<EvacuationAction, 2> actionNames { {
    { EvacuationAction::Start, "start" },
    { EvacuationAction::Finish, "finish" },
} };

} // namespace

std::string_view nameOf(EvacuationAction action)
{
    return actionNames.nameOf(action);
}

upstream::ZoneEvacuations EvacuationOrder::appliedTo(upstream::ZoneEvacuations evacuations) const
{
    const bool isEvacuated = evacuations.contains(zone);
    const bool shouldBeEvacuated = action == EvacuationAction::Start;
    if (isEvacuated == shouldBeEvacuated)
        return evacuations;
    const auto position = std::ranges::lower_bound(evacuations.zones, zone);
    if (shouldBeEvacuated)
        evacuations.zones.insert(position, zone);
    else
        evacuations.zones.erase(position);
    ++evacuations.revision;
    return evacuations;
}

} // namespace ibisgw::configuration
