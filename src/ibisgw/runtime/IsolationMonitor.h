#pragma once

#include "ibisgw/core/Time.h"

namespace ibisgw::runtime {

// Answers the cut of single balancers from all controllers: what they know of upstreams grows old, while others could
// take their flows. A balancer withdraws only after a while, because it would also withdraw when all controllers are
// down; the routers then use all balancers, stopped ones included.
class IsolationMonitor {
public:
    // Controllers are back from a loss of all their processes within a shorter time.
    static constexpr core::Duration limit = std::chrono::seconds(2);

    // Call often with whether any controller is in contact.
    void note(bool hasControllers, core::TimePoint now);
    bool isIsolated() const { return m_isIsolated; }

private:
    core::TimePoint m_contactAt {};
    bool m_isIsolated { false };
};

} // namespace ibisgw::runtime
