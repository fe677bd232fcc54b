#pragma once

#include "ibisgw/core/Time.h"

#include <cstdint>

namespace ibisgw::direct {

// Running estimate of the median of positive durations, in constant memory. A few outliers don't move it, so that a
// minority of slow upstreams doesn't raise the duration that counts as normal.
class MedianEstimate {
public:
    void add(core::Duration sample);
    bool isReliable() const { return m_samples >= minSamples; }
    // Ratio of a duration to the median. Only valid if isReliable().
    double ratioOf(core::Duration) const;

private:
    static constexpr std::uint64_t minSamples = 20;

    double m_seconds { 0 };
    std::uint64_t m_samples { 0 };
};

} // namespace ibisgw::direct
