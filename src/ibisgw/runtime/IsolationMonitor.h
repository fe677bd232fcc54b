#pragma once

#include "ibisgw/core/Time.h"

namespace ibisgw::runtime {

// Detects that a balancer has lost contact to all controllers. The upstream directory of such a balancer becomes stale,
// while other balancers could take over its flows, so it must report itself as not ready. It does so only after a
// timeout: if all controllers are down, every balancer would withdraw, and routers without a ready balancer send to all
// of them, including stopped ones.
class IsolationMonitor {
public:
    // Longer than the controllers take to recover from a crash of all their processes.
    static constexpr core::Duration isolationTimeout = std::chrono::seconds(2);

    // Must be called periodically. Before the first contact the timeout runs from the first call.
    void update(bool hasReachableController, core::TimePoint now);
    bool isIsolated() const { return m_isIsolated; }

private:
    core::TimePoint m_lastContactAt {};
    bool m_isIsolated { false };
};

} // namespace ibisgw::runtime
