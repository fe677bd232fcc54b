#pragma once

#include <cstddef>

namespace ibisgw::membership {

// In how many daemons a revision, or a later one, is in force as far as one daemon knows.
struct RevisionCount {
    std::size_t inForce { 0 };
    std::size_t alive { 0 };
};

} // namespace ibisgw::membership
