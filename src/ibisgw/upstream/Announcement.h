#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace ibisgw::upstream {

enum class UpstreamState : std::uint8_t {
    Warming, // cold start: takes a growing share of new work
    Ready,
    Shedding, // refuses new work for the moment
    Draining, // keeps its flows, takes no new work
    Stopped, // has left in a planned way
};

std::string_view nameOf(UpstreamState);
std::optional<UpstreamState> upstreamStateFromNumber(std::uint64_t);

// What an upstream says about itself, about once a second.
struct Announcement {
    core::UpstreamId upstream;
    core::ServiceName service;
    core::ZoneName zone;
    core::Incarnation incarnation { 0 };
    // Grows with each announcement of one incarnation; orders announcements that overtake each other.
    std::uint64_t sequence { 0 };
    UpstreamState state { UpstreamState::Ready };
    std::uint16_t slots { 0 };
    // Requests in execution, as the upstream reports them; the report may lag or mislead.
    std::uint16_t busySlots { 0 };
    std::uint32_t openFlows { 0 };
};

} // namespace ibisgw::upstream
