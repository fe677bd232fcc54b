#include "ibisgw/adapters/LatencyQuantiles.h"

#include <algorithm>

namespace ibisgw::adapters {

LatencyQuantiles::LatencyQuantiles()
    : m_accumulator(boost::accumulators::extended_p_square_probabilities = probabilities)
{
}

void LatencyQuantiles::record(core::Duration duration)
{
    const auto seconds = core::toSeconds(duration);
    m_accumulator(seconds);
    if (m_count < markerCount)
        m_firstSamples[m_count] = seconds;
    ++m_count;
    m_sumSeconds += seconds;
}

double LatencyQuantiles::quantile(std::size_t index) const
{
    if (m_count > markerCount)
        return boost::accumulators::extended_p_square(m_accumulator)[static_cast<std::ptrdiff_t>(index)];
    if (m_count == 0)
        return 0.0;
    auto samples = m_firstSamples;
    const auto n = static_cast<std::size_t>(m_count);
    std::sort(samples.begin(), samples.begin() + static_cast<std::ptrdiff_t>(n));
    return samples[std::min(n - 1, static_cast<std::size_t>(probabilities[index] * static_cast<double>(n)))];
}

} // namespace ibisgw::adapters
