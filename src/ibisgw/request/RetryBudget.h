#pragma once

#include "ibisgw/core/Time.h"

#include <array>
#include <cstdint>

namespace ibisgw::request {

// Limits the retries of one service to a share of its opens of the last 10 s, so that retries don't multiply the load
// of upstreams that are already refusing work (Google SRE book, chapter 22). guaranteedRetriesPerSecond allows retries
// of services with few opens.
class RetryBudget {
public:
    static constexpr double maxRetryShare = 0.1;
    static constexpr double guaranteedRetriesPerSecond = 1.0;

    void recordOpen(core::TimePoint now);
    // Counts one retry against the budget; false when the budget is used up.
    bool takeRetry(core::TimePoint now);

private:
    static constexpr std::size_t windowSeconds = 10;

    struct SecondCounts {
        std::int64_t number { -1 };
        std::uint32_t opens { 0 };
        std::uint32_t retries { 0 };
    };

    SecondCounts& currentCounts(core::TimePoint now);

    std::array<SecondCounts, windowSeconds> m_seconds;
};

} // namespace ibisgw::request
