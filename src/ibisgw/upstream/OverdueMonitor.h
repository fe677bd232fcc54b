#pragma once

#include "ibisgw/upstream/InstanceDirectory.h"

namespace ibisgw::upstream {

// Marks upstreams that have stopped sending reports as overdue. A controller that was suspended, overloaded or
// partitioned from the majority of controllers may lack reports that are in its socket buffers or that other
// controllers have received. It marks nothing until each upstream has had time to send another report.
class OverdueMonitor {
public:
    // Upstreams send one report in each interval.
    explicit OverdueMonitor(core::Duration reportInterval);

    // Call in each iteration of the controller's event loop, at least ten times a second. `hasQuorum` says whether
    // the controller is in contact with a majority of the controllers.
    void tick(InstanceDirectory&, bool hasQuorum, core::TimePoint now);

    // Whether the directory holds the newest report of each upstream, so that missing reports are significant.
    bool hasCompleteReports(core::TimePoint now) const { return now >= m_completeFrom; }

private:
    core::Duration m_reportInterval;
    core::TimePoint m_lastTick {};
    core::TimePoint m_nextCheck {};
    core::TimePoint m_completeFrom {};
};

} // namespace ibisgw::upstream
