#pragma once

#include "ibisgw/upstream/InstanceDirectory.h"

namespace ibisgw::upstream {

// Marks upstreams that have stopped reporting themselves. Answers a controller that was late itself, because it stood
// still, had too much to do or was cut off from the other controllers: reports that wait in its sockets, or that others
// have got, are not missing. Such a controller marks nothing until each upstream has had the time to report again.
class OverdueMonitor {
public:
    // An upstream reports itself once in each interval.
    explicit OverdueMonitor(core::Duration reportInterval);

    // Call with each turn of the controller, at least ten times a second.
    void tick(InstanceDirectory&, bool hearsMajority, core::TimePoint now);

    // Whether the reports that are known here are all that were made.
    bool trusts(core::TimePoint now) const { return now >= m_trustedFrom; }

private:
    core::Duration m_reportInterval;
    core::TimePoint m_lastTick {};
    core::TimePoint m_nextCheck {};
    core::TimePoint m_trustedFrom {};
};

} // namespace ibisgw::upstream
