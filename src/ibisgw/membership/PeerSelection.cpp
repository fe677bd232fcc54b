#include "ibisgw/membership/PeerSelection.h"

#include "ibisgw/core/FlowKey.h"

#include <algorithm>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ibisgw::membership {

namespace {

constexpr std::size_t delegatesPerZone = 2;

} // namespace

std::vector<core::NodeId> choosePeers(
    std::vector<core::NodeId> candidates, std::size_t count, core::RandomSource& random)
{
    count = std::min(count, candidates.size());
    for (std::size_t n = 0; n < count; ++n)
        std::swap(candidates[n], candidates[n + random.below(candidates.size() - n)]);
    candidates.resize(count);
    return candidates;
}

std::vector<core::NodeId> chooseDelegates(const core::ZoneName& zone, std::vector<core::NodeId> alive)
{
    const auto zoneHash = XXH3_64bits(zone.data(), zone.size());
    std::sort(alive.begin(), alive.end(), [&](core::NodeId left, core::NodeId right) {
        return core::rendezvousWeight(zoneHash, left.value) > core::rendezvousWeight(zoneHash, right.value);
    });
    alive.resize(std::min(alive.size(), delegatesPerZone));
    return alive;
}

} // namespace ibisgw::membership
