#include "ibisgw/runtime/PauseMonitor.h"

namespace ibisgw::runtime {

void PauseMonitor::recordActivity(core::TimePoint now)
{
    if (m_lastActivityAt != core::TimePoint {} && now - m_lastActivityAt > pauseThreshold)
        m_refreshUntil = now + refreshPeriod;
    m_lastActivityAt = now;
}

} // namespace ibisgw::runtime
