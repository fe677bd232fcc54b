#include "ibisgw/runtime/PauseMonitor.h"

namespace ibisgw::runtime {

bool PauseMonitor::recordActivity(core::TimePoint now, core::Duration uptime)
{
    const bool wasPaused = m_lastUptime && uptime - *m_lastUptime > pauseThreshold;
    m_lastUptime = uptime;
    if (wasPaused)
        m_refreshUntil = now + refreshPeriod;
    return wasPaused;
}

} // namespace ibisgw::runtime
