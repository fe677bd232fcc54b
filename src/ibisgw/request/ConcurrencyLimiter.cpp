#include "ibisgw/request/ConcurrencyLimiter.h"

#include <algorithm>

namespace ibisgw::request {

namespace {

// A flow that takes a larger share of its deadline counts as congested. Half of the deadline is reserved for the
// transfer of the answer and the variation of execution times.
constexpr double congestedShareOfDeadline = 0.5;
// The limit decreases when more than maxCongestedShare of the recent flows were congested. Single slow flows are caused
// by lost packets and failed upstreams, not by load.
constexpr double newestSampleWeight = 1.0 / 8;
constexpr double maxCongestedShare = 0.4;
constexpr double decreaseFactor = 0.9;
// A decrease takes effect after about the duration of a flow. Further decreases within this time would leave slots
// idle.
constexpr core::Duration minDecreaseInterval = std::chrono::seconds(1);

} // namespace

void ConcurrencyLimiter::release()
{
    if (m_inProgress > 0)
        --m_inProgress;
}

void ConcurrencyLimiter::complete(double shareOfDeadline, core::TimePoint now)
{
    // The limit grows only while at least half of it is in use, since otherwise flows don't test a higher limit.
    const bool isLimitUsed = m_inProgress * 2 >= limit();
    release();
    const double congestionSample = shareOfDeadline > congestedShareOfDeadline ? 1 : 0;
    m_congestedShare += newestSampleWeight * (congestionSample - m_congestedShare);
    if (m_congestedShare > maxCongestedShare) {
        if (now - m_lastDecreaseAt < minDecreaseInterval)
            return;
        m_lastDecreaseAt = now;
        m_congestedShare = 0;
        // Decreases from the number of flows in progress plus one if that is lower, because a decrease of an unused
        // high limit would have no effect.
        m_limit = std::max(minLimit, std::min(m_limit, m_inProgress + 1.0) * decreaseFactor);
    } else if (isLimitUsed) {
        m_limit = std::min(maxLimit, m_limit + 1.0 / m_limit);
    }
}

} // namespace ibisgw::request
