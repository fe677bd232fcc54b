#include "ibisgw/adapters/WallClock.h"

#include <chrono>

namespace ibisgw::adapters {

std::uint64_t wallClockMicroseconds()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(duration_cast<microseconds>(system_clock::now().time_since_epoch()).count());
}

} // namespace ibisgw::adapters
