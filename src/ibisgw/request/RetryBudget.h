#pragma once

#include "ibisgw/core/Time.h"

#include <array>
#include <cstdint>

namespace ibisgw::request {

// Bounds the retries of one service to a share of its opens of the last 10 s, so that retries do not multiply
// the load of upstreams that are already refusing work (Google SRE book, chapter 22).
class RetryBudget {
public:
    static constexpr double share = 0.1;
    static constexpr double floorPerSecond = 1.0;

    void recordOpen(core::TimePoint now);
    // Takes one retry; false when the budget is used up.
    bool takeRetry(core::TimePoint now);

private:
    static constexpr std::size_t windowSeconds = 10;

    struct Second {
        std::int64_t number { -1 };
        std::uint32_t opens { 0 };
        std::uint32_t retries { 0 };
    };

    Second& currentSecond(core::TimePoint now);

    std::array<Second, windowSeconds> m_seconds;
};

} // namespace ibisgw::request
