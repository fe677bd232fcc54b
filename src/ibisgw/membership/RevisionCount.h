#pragma once

#include <cstddef>

namespace ibisgw::membership {

// Number of daemons that have a revision, or a later one, in force, and number of all daemons that are not dead.
// Counted from the state that one daemon has received, which may lag.
struct RevisionCount {
    std::size_t inForce { 0 };
    std::size_t alive { 0 };
};

} // namespace ibisgw::membership
