#include "ibisgw/request/HedgeBudget.h"

#include <algorithm>

namespace ibisgw::request {

namespace {

// The sum of many shares misses a whole number by rounding errors, which must not cost an attempt.
constexpr double roundingTolerance = 1e-9;

} // namespace

HedgeBudget::HedgeBudget(double maxShare)
    : m_maxShare(maxShare)
{
}

HedgeBudget::Counts& HedgeBudget::currentCounts(core::TimePoint now)
{
    const auto number = now.time_since_epoch() / bucketLength;
    auto& counts = m_counts[static_cast<std::size_t>(number) % m_counts.size()];
    if (counts.number != number)
        counts = { number, 0, 0 };
    return counts;
}

HedgeBudget::Totals HedgeBudget::totals(core::TimePoint now)
{
    const auto current = currentCounts(now).number;
    Totals totals;
    for (const auto& it : m_counts) {
        const auto age = current - it.number;
        // The oldest bucket is only partly within the window. Its attempts count and its requests don't, so that the
        // limit holds for every window whatever its start.
        if (it.number >= 0 && age < bucketsPerWindow)
            totals.requests += it.requests;
        if (it.number >= 0 && age <= bucketsPerWindow)
            totals.attempts += it.attempts;
    }
    return totals;
}

void HedgeBudget::recordRequest(core::TimePoint now)
{
    ++currentCounts(now).requests;
    m_tokens += m_maxShare;
    if (!m_firstRequestAt)
        m_firstRequestAt = now;
}

bool HedgeBudget::hasRoom(core::TimePoint now)
{
    const auto [requests, attempts] = totals(now);
    const auto allowed = m_maxShare * static_cast<double>(requests);
    const auto capacity = std::max(1.0, allowed * core::toSeconds(burst) / core::toSeconds(window));
    m_tokens = std::min(m_tokens, capacity);
    const bool isWindowKnown = m_firstRequestAt && now - *m_firstRequestAt >= window;
    const bool isWithinWindow = static_cast<double>(attempts + 1) <= allowed + roundingTolerance;
    return isWindowKnown && isWithinWindow && m_tokens + roundingTolerance >= 1;
}

bool HedgeBudget::takeAttempt(core::TimePoint now)
{
    if (!hasRoom(now))
        return false;
    m_tokens -= 1;
    ++currentCounts(now).attempts;
    return true;
}

} // namespace ibisgw::request
