#include "ibisgw/runtime/ShutdownTimer.h"

namespace ibisgw::runtime {

bool ShutdownTimer::isOver(core::TimePoint now) const
{
    if (!m_startedAt)
        return false;
    const auto elapsed = now - *m_startedAt;
    if (elapsed > m_limits.maximum)
        return true;
    return elapsed > m_limits.minimum && now - m_lastWorkAt > m_limits.quiet;
}

} // namespace ibisgw::runtime
