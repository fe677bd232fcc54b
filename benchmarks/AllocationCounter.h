#pragma once

#include <cstdint>

namespace bench {

// Calls of malloc since the start, those of libraries included; 0 in sanitizer builds, which replace malloc.
std::uint64_t allocationCount();

} // namespace bench
