#include "ibisgw/runtime/PauseMonitor.h"

namespace ibisgw::runtime {

void PauseMonitor::noteTurn(core::TimePoint now)
{
    if (m_lastTurnAt != core::TimePoint {} && now - m_lastTurnAt > pauseLimit)
        m_refreshUntil = now + refreshTime;
    m_lastTurnAt = now;
}

} // namespace ibisgw::runtime
