#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace ibisgw::upstream {

enum class UpstreamState : std::uint8_t {
    Warming, // cold start: gets a growing share of new work
    Ready,
    Shedding, // temporarily refuses new work
    Draining, // keeps its flows, takes no new work
    Stopped, // has shut down as planned
};

std::string_view nameOf(UpstreamState);
std::optional<UpstreamState> upstreamStateFromNumber(std::uint64_t);

// State that an upstream announces about once a second.
struct Announcement {
    core::UpstreamId upstream;
    core::ServiceName service;
    core::ZoneName zone;
    core::Incarnation incarnation { 0 };
    // Increases with each announcement of one incarnation, so that reordered announcements are recognized.
    std::uint64_t sequence { 0 };
    UpstreamState state { UpstreamState::Ready };
    std::uint16_t slots { 0 };
    // Requests in execution as reported by the upstream; may be outdated or wrong.
    std::uint16_t busySlots { 0 };
    std::uint32_t openFlows { 0 };
};

} // namespace ibisgw::upstream
