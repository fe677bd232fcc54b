#include "ibisgw/runtime/IsolationMonitor.h"

namespace ibisgw::runtime {

void IsolationMonitor::note(bool hasControllers, core::TimePoint now)
{
    if (hasControllers || m_contactAt == core::TimePoint {})
        m_contactAt = now;
    m_isIsolated = now - m_contactAt > limit;
}

} // namespace ibisgw::runtime
