#include "ibisgw/adapters/LatencyHistogram.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <vector>

namespace ibisgw::adapters {

namespace {

using Axis = boost::histogram::axis::variable<double>;

// The intervals of the axis exclude their upper end. Each edge is therefore the next larger number, so that the bucket
// includes its bound.
Axis makeAxis()
{
    std::vector<double> edges { 0.0 };
    for (const auto it : LatencyHistogram::upperBounds)
        edges.push_back(std::nextafter(it, std::numeric_limits<double>::max()));
    return Axis(edges);
}

} // namespace

struct LatencyHistogram::Buckets {
    decltype(boost::histogram::make_histogram(makeAxis())) histogram { boost::histogram::make_histogram(makeAxis()) };
};

LatencyHistogram::LatencyHistogram()
    : m_buckets(std::make_unique<Buckets>())
{
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::record(core::Duration duration)
{
    const auto seconds = std::max(0.0, core::toSeconds(duration));
    m_buckets->histogram(seconds);
    ++m_count;
    m_sumSeconds += seconds;
}

std::uint64_t LatencyHistogram::countUpTo(std::size_t index) const
{
    double count = 0;
    for (std::size_t n = 0; n <= index; ++n)
        count += m_buckets->histogram.at(static_cast<int>(n));
    return static_cast<std::uint64_t>(count);
}

} // namespace ibisgw::adapters
