#pragma once

#include <chrono>
#include <cstdint>

namespace ibisgw::core {

// Microseconds resolve the delays inside one availability zone (about 1 ms).
using Duration = std::chrono::microseconds;

// Point on the monotonic clock of one process. Only the event loop reads the clock;
// every deciding function receives the value as an argument, so tests can run it in virtual time.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

// Seconds as a floating-point number, for logs, metrics and rate computations.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace ibisgw::core
