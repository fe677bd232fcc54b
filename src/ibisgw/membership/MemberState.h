#pragma once

#include <cstdint>
#include <string_view>

namespace ibisgw::membership {

// Ordered by precedence: of two updates with one incarnation the larger state wins (SWIM, section 4.2).
enum class MemberState : std::uint8_t {
    Alive,
    Suspect,
    Leaving, // still handles its requests in progress, takes no new work
    Dead,
};

std::string_view nameOf(MemberState);

} // namespace ibisgw::membership
