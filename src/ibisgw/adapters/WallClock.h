#pragma once

#include <cstdint>

namespace ibisgw::adapters {

// Microseconds since the Unix epoch: for numbers that must grow across restarts, and for times that are
// compared between VMs. Deciding code never reads it.
std::uint64_t wallClockMicroseconds();

} // namespace ibisgw::adapters
