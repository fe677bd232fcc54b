#include "ibisgw/runtime/LinkCongestionLogger.h"

#include "ibisgw/runtime/EventLog.h"

namespace ibisgw::runtime {

void LinkCongestionLogger::log(const direct::LinkCongestion& congestion, EventLog& events, core::TimePoint now)
{
    if (congestion.isCongested(now) == m_wasCongested)
        return;
    m_wasCongested = !m_wasCongested;
    if (m_wasCongested) {
        m_congestedSince = now;
        m_discardedBefore = congestion.discardedCount();
        events.record(Event::LinkCongested, now, [&] {
            return nlohmann::json { { "cause", nameOf(congestion.cause()) } };
        });
        return;
    }
    events.record(Event::LinkClear, now, [&] {
        return nlohmann::json { { "seconds", core::toSeconds(now - m_congestedSince) },
            { "evidence_discarded", congestion.discardedCount() - m_discardedBefore } };
    });
}

} // namespace ibisgw::runtime
