#include "ibisgw/runtime/ShutdownTimer.h"

namespace ibisgw::runtime {

bool ShutdownTimer::isOver(core::TimePoint now) const
{
    if (!m_startedAt)
        return false;
    const auto elapsed = now - *m_startedAt;
    if (elapsed > m_limits.maxDuration)
        return true;
    return elapsed > m_limits.minDuration && now - m_lastWorkAt > m_limits.quietPeriod;
}

} // namespace ibisgw::runtime
