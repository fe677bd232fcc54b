#pragma once

#include "ibisgw/core/Ids.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <vector>

namespace ibisgw::upstream {

// Availability zones whose upstreams get no new flows, by order of an operator. Open flows stay where they are.
struct ZoneEvacuations {
    // Increases by one with each order that changes the zones; the set with the highest revision is in force. 0 before
    // the first order.
    std::uint64_t revision { 0 };
    // Sorted, without duplicates.
    std::vector<core::ZoneName> zones;

    // Whether the zones are sorted and without duplicates, which contains() counts on.
    bool isOrdered() const { return std::ranges::adjacent_find(zones, std::greater_equal<> {}) == zones.end(); }
    bool contains(const core::ZoneName& zone) const { return std::ranges::binary_search(zones, zone); }
    bool operator==(const ZoneEvacuations&) const = default;
};

} // namespace ibisgw::upstream
