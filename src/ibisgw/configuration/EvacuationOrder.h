#pragma once

#include "ibisgw/upstream/ZoneEvacuations.h"

#include <string_view>

namespace ibisgw::configuration {

enum class EvacuationAction : std::uint8_t {
    Start, // the upstreams of the zone get no new flows
    Finish, // revokes an earlier start
};

std::string_view nameOf(EvacuationAction);

// Order of an operator.
struct EvacuationOrder {
    EvacuationAction action { EvacuationAction::Start };
    core::ZoneName zone;

    // The set that is in force after this order. Has the next revision if the order changes the zones, and equals the
    // given set otherwise.
    upstream::ZoneEvacuations appliedTo(upstream::ZoneEvacuations) const;
};

} // namespace ibisgw::configuration
