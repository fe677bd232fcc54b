#include "ibisgw/upstream/OverdueMonitor.h"

namespace ibisgw::upstream {

namespace {

// Turns come every few milliseconds; a later one tells of a pause or of too much work.
constexpr core::Duration latenessLimit = std::chrono::milliseconds(250);

// An upstream waits this long for the answer to a report before it asks another controller.
constexpr core::Duration reportTimeout = std::chrono::seconds(1);

constexpr core::Duration checkInterval = std::chrono::milliseconds(100);

} // namespace

OverdueMonitor::OverdueMonitor(core::Duration reportInterval)
    : m_reportInterval(reportInterval)
{
}

void OverdueMonitor::tick(InstanceDirectory& directory, bool hearsMajority, core::TimePoint now)
{
    const bool wasLate = m_lastTick != core::TimePoint {} && now - m_lastTick > latenessLimit;
    m_lastTick = now;
    // Each upstream reports within an interval, and others relay that within half of one.
    if (wasLate || !hearsMajority)
        m_trustedFrom = now + m_reportInterval + m_reportInterval / 2;
    if (now < m_nextCheck || !trusts(now))
        return;
    m_nextCheck = now + checkInterval;
    // Two reports may be lost with the controller that got them, and the next one has to find another.
    directory.markOverdue(2 * m_reportInterval + m_reportInterval / 2 + reportTimeout, now);
}

} // namespace ibisgw::upstream
