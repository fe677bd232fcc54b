#pragma once

#include <cstdint>
#include <string_view>

namespace ibisgw::membership {

// Ordered by precedence: of two updates with the same incarnation the one with the larger state is kept (SWIM, section
// 4.2).
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Leaving, // completes the requests in progress and accepts no new work
    Dead,
};

std::string_view nameOf(MemberState);

} // namespace ibisgw::membership
