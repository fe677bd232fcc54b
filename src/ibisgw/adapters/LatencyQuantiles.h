#pragma once

#include "ibisgw/core/Time.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cstdint>

namespace ibisgw::adapters {

// Quantiles of all recorded durations in constant memory, with the extended P-square algorithm
// (Raatikainen 1987, after Jain and Chlamtac 1985). The values are estimates, and cover the time since
// the start of the process.
class LatencyQuantiles {
public:
    static constexpr std::array<double, 3> probabilities { 0.5, 0.9, 0.99 };

    LatencyQuantiles();

    void record(core::Duration);

    std::uint64_t count() const { return m_count; }
    double sumSeconds() const { return m_sumSeconds; }
    // Seconds; 0 without any record.
    double quantile(std::size_t index) const;

private:
    // The algorithm has two markers for each quantile and three more, and needs as many samples.
    static constexpr std::size_t markerCount = 2 * probabilities.size() + 3;

    using Accumulator = boost::accumulators::accumulator_set<double,
        boost::accumulators::stats<boost::accumulators::tag::extended_p_square>>;

    Accumulator m_accumulator;
    // Exact answers until the algorithm has enough samples.
    std::array<double, markerCount> m_firstSamples {};
    std::uint64_t m_count { 0 };
    double m_sumSeconds { 0.0 };
};

} // namespace ibisgw::adapters
