#include "ibisgw/runtime/IsolationMonitor.h"

namespace ibisgw::runtime {

void IsolationMonitor::update(bool hasReachableController, core::TimePoint now)
{
    if (hasReachableController || m_lastContactAt == core::TimePoint {})
        m_lastContactAt = now;
    m_isIsolated = now - m_lastContactAt > isolationTimeout;
}

} // namespace ibisgw::runtime
