#include "ibisgw/request/ConcurrencyLimiter.h"

#include <algorithm>

namespace ibisgw::request {

namespace {

// Half of the deadline stays for the way back and for the spread of execution times.
constexpr double congestedShareOfDeadline = 0.5;
// Single slow flows follow from lost packets and failed upstreams, not from load.
constexpr double newestFlowWeight = 1.0 / 8;
constexpr double congestedFlows = 0.4;
constexpr double decreaseFactor = 0.9;
// A decrease shows its effect after about the time that a flow takes; earlier ones would leave slots idle.
constexpr core::Duration decreasePeriod = std::chrono::seconds(1);

} // namespace

void ConcurrencyLimiter::release()
{
    if (m_inProgress > 0)
        --m_inProgress;
}

void ConcurrencyLimiter::complete(double shareOfDeadline, core::TimePoint now)
{
    // Growth is only justified while the limit is in use.
    const bool limitIsUsed = m_inProgress * 2 >= limit();
    release();
    const double isCongested = shareOfDeadline > congestedShareOfDeadline ? 1 : 0;
    m_congestedShare += newestFlowWeight * (isCongested - m_congestedShare);
    if (m_congestedShare > congestedFlows) {
        if (now - m_lastDecreaseAt < decreasePeriod)
            return;
        m_lastDecreaseAt = now;
        m_congestedShare = 0;
        // The limit follows the flows in progress, so that an unused high limit does not delay the reaction.
        m_limit = std::max(minLimit, std::min(m_limit, m_inProgress + 1.0) * decreaseFactor);
    } else if (limitIsUsed) {
        m_limit = std::min(maxLimit, m_limit + 1.0 / m_limit);
    }
}

} // namespace ibisgw::request
