#include "ibisgw/upstream/OverdueMonitor.h"

namespace ibisgw::upstream {

namespace {

// The event loop iterates every few milliseconds; a longer interval means that the controller was suspended or
// overloaded.
constexpr core::Duration maxTickInterval = std::chrono::milliseconds(250);

// An upstream sends a report to another controller if the first one hasn't replied after this time.
constexpr core::Duration reportTimeout = std::chrono::seconds(1);

constexpr core::Duration checkInterval = std::chrono::milliseconds(100);

} // namespace

OverdueMonitor::OverdueMonitor(core::Duration reportInterval)
    : m_reportInterval(reportInterval)
{
}

void OverdueMonitor::tick(InstanceDirectory& directory, bool hasQuorum, core::TimePoint now)
{
    const bool wasLate = m_lastTick != core::TimePoint {} && now - m_lastTick > maxTickInterval;
    m_lastTick = now;
    // Each upstream sends a report within one interval, and other controllers relay it within half an interval.
    if (wasLate || !hasQuorum)
        m_completeFrom = now + m_reportInterval + m_reportInterval / 2;
    if (now < m_nextCheck || !hasCompleteReports(now))
        return;
    m_nextCheck = now + checkInterval;
    // Two reports may be lost with the controller that received them, and the next one times out once before the
    // upstream sends it to another controller.
    directory.markOverdue(2 * m_reportInterval + m_reportInterval / 2 + reportTimeout, now);
}

} // namespace ibisgw::upstream
