#pragma once

#include "ibisgw/core/Time.h"

#include <optional>

namespace ibisgw::runtime {

// Detects that the process was paused, or its VM suspended, for seconds. Its upstream directory is then stale, and
// packets queued in its sockets would be placed on upstreams that have left during the pause. For a short time after a
// pause isRefreshing() is true, and new flows wait for updates of the controllers.
class PauseMonitor {
public:
    // A shorter pause needs no refresh, as the directory may be this stale in normal operation.
    static constexpr core::Duration pauseThreshold = std::chrono::seconds(1);
    // Enough to process the queued messages and to receive an update of a controller.
    static constexpr core::Duration refreshPeriod = std::chrono::milliseconds(50);

    // Must be called at each tick and for each packet, with the time since the VM booted, which counts the time for
    // which it was suspended. A gap between two calls above the threshold counts as a pause. Returns true for the first
    // call after a pause.
    bool recordActivity(core::TimePoint now, core::Duration uptime);
    bool isRefreshing(core::TimePoint now) const { return now < m_refreshUntil; }

private:
    // Uptime at the last call; empty before the first one.
    std::optional<core::Duration> m_lastUptime;
    core::TimePoint m_refreshUntil {};
};

} // namespace ibisgw::runtime
