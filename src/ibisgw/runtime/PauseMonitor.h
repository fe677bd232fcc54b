#pragma once

#include "ibisgw/core/Time.h"

namespace ibisgw::runtime {

// Answers a process that stood still for seconds and goes on with packets that waited in its sockets: upstreams may
// have left meanwhile, and it would place flows on what it knew before. After a pause it waits until the controllers
// have told what has changed.
class PauseMonitor {
public:
    // The directory may be this old at any time.
    static constexpr core::Duration pauseLimit = std::chrono::seconds(1);
    // Enough to read the messages that have waited and to hear from a controller.
    static constexpr core::Duration refreshTime = std::chrono::milliseconds(50);

    // Call with each turn and each packet; the first call after a pause tells of it.
    void noteTurn(core::TimePoint now);
    bool isRefreshing(core::TimePoint now) const { return now < m_refreshUntil; }

private:
    core::TimePoint m_lastTurnAt {};
    core::TimePoint m_refreshUntil {};
};

} // namespace ibisgw::runtime
