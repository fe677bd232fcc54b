#pragma once

#include "ibisgw/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace ibisgw::request {

// Quantiles of the latencies of the last 30 to 60 s. Latencies are counted in ranges whose bounds grow by a constant
// factor, so that the memory is fixed and the relative error is at most that factor.
class LatencyEstimate {
public:
    // A balancer with 12 requests a second, a usual rate among 85 balancers, needs 21 s for the 250 samples from which
    // the quantile 0.98 follows.
    static constexpr core::Duration period = std::chrono::seconds(30);

    void record(core::Duration latency, core::TimePoint now);
    std::uint64_t sampleCount(core::TimePoint now);
    // Upper bound of the range that contains the quantile; zero without samples.
    core::Duration quantile(double share, core::TimePoint now);

private:
    // 8 ranges per factor of 2, which gives an error of at most 9 %, from 100 us to 105 s.
    static constexpr std::size_t rangesPerDoubling = 8;
    static constexpr std::size_t doublings = 20;
    static constexpr std::size_t rangeCount = rangesPerDoubling * doublings;
    static constexpr core::Duration lowestBound = std::chrono::microseconds(100);

    struct Counts {
        std::array<std::uint32_t, rangeCount> ranges {};
        std::uint64_t total { 0 };
    };

    void advance(core::TimePoint now);
    static std::size_t rangeOf(core::Duration);
    static core::Duration upperBound(std::size_t range);

    std::int64_t m_period { 0 };
    Counts m_current;
    Counts m_previous;
};

} // namespace ibisgw::request
