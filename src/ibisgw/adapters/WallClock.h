#pragma once

#include <cstdint>

namespace ibisgw::adapters {

// Wall-clock time in microseconds since the Unix epoch, for numbers that must increase across restarts and for times
// that are compared between VMs. Code that makes decisions must not use it.
std::uint64_t wallClockMicroseconds();

} // namespace ibisgw::adapters
