#pragma once

#include <chrono>
#include <cstdint>

namespace ibisgw::core {

// A resolution of microseconds, because delays inside one availability zone are about 1 ms.
using Duration = std::chrono::microseconds;

// Time on the monotonic clock of one process. Only the event loop reads the clock; functions whose decisions depend on
// the time receive it as an argument, so that tests can run them in virtual time.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

using namespace std::chrono_literals;

// Seconds as a floating-point number, for logs, metrics and rate computations.
constexpr double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

} // namespace ibisgw::core
