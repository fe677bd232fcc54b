#pragma once

#include <cstdint>

namespace bench {

// Number of malloc calls since the program started, including those of libraries. Always 0 in builds with
// AddressSanitizer, which replaces malloc itself.
std::uint64_t allocationCount();

} // namespace bench
