#pragma once

#include "ibisgw/core/Time.h"

#include <array>
#include <cstdint>
#include <memory>

namespace ibisgw::adapters {

// Histogram of durations since the start of the process, with fixed upper bounds of the buckets. Unlike quantiles,
// histograms of many processes can be added up.
class LatencyHistogram {
public:
    // Upper bounds in seconds; a bucket includes its bound.
    static constexpr std::array<double, 12> upperBounds { 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0,
        2.5, 5.0 };

    LatencyHistogram();
    ~LatencyHistogram();

    void record(core::Duration);

    std::uint64_t count() const { return m_count; }
    double sumSeconds() const { return m_sumSeconds; }
    // Number of durations that do not exceed the bound with this index.
    std::uint64_t countUpTo(std::size_t index) const;

private:
    struct Buckets;

    std::unique_ptr<Buckets> m_buckets;
    std::uint64_t m_count { 0 };
    double m_sumSeconds { 0.0 };
};

} // namespace ibisgw::adapters
