#include "ibisgw/request/LatencyEstimate.h"

#include <algorithm>
#include <cmath>

namespace ibisgw::request {

std::size_t LatencyEstimate::rangeOf(core::Duration latency)
{
    if (latency <= lowestBound)
        return 0;
    const auto ratio = static_cast<double>(latency.count()) / static_cast<double>(lowestBound.count());
    const auto range = static_cast<std::size_t>(std::ceil(std::log2(ratio) * rangesPerDoubling));
    return std::min(range, rangeCount - 1);
}

core::Duration LatencyEstimate::upperBound(std::size_t range)
{
    const auto factor = std::exp2(static_cast<double>(range) / rangesPerDoubling);
    return core::Duration(std::llround(std::ceil(static_cast<double>(lowestBound.count()) * factor)));
}

void LatencyEstimate::advance(core::TimePoint now)
{
    const auto number = now.time_since_epoch() / period;
    if (number == m_period)
        return;
    m_previous = number == m_period + 1 ? m_current : Counts {};
    m_current = {};
    m_period = number;
}

void LatencyEstimate::record(core::Duration latency, core::TimePoint now)
{
    advance(now);
    ++m_current.ranges[rangeOf(latency)];
    ++m_current.total;
}

std::uint64_t LatencyEstimate::sampleCount(core::TimePoint now)
{
    advance(now);
    return m_current.total + m_previous.total;
}

core::Duration LatencyEstimate::quantile(double share, core::TimePoint now)
{
    const auto total = sampleCount(now);
    if (total == 0)
        return core::Duration::zero();
    const auto rank = share * static_cast<double>(total);
    std::uint64_t sum = 0;
    std::size_t range = 0;
    for (; range + 1 < rangeCount; ++range) {
        sum += m_current.ranges[range] + m_previous.ranges[range];
        if (sum > 0 && static_cast<double>(sum) >= rank)
            break;
    }
    return upperBound(range);
}

} // namespace ibisgw::request
