#include "ibisgw/direct/MedianEstimate.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

// Relative change of the estimate for each sample: large for the first ones, of which any may be far from the median.
constexpr double maxStep = 0.2;
// A burst that slows all upstreams down for some seconds must not become the normal response time.
constexpr double minStep = 0.002;

} // namespace

void MedianEstimate::add(core::Duration sample)
{
    const double seconds = std::max(core::toSeconds(sample), 1e-6);
    if (m_samples == 0)
        m_seconds = seconds;
    ++m_samples;
    const double factor = 1 + std::clamp(1.0 / static_cast<double>(m_samples), minStep, maxStep);
    m_seconds *= seconds > m_seconds ? factor : 1 / factor;
}

double MedianEstimate::ratioOf(core::Duration duration) const
{
    return core::toSeconds(duration) / m_seconds;
}

} // namespace ibisgw::direct
