#pragma once

#include "ibisgw/core/Time.h"

namespace ibisgw::balancer {

// Token bucket for relayed packets: caps what a balancer that knows few flows costs its peers.
class RelayBudget {
public:
    RelayBudget(double packetsPerSecond, double burst);

    // False when the packet must not be relayed.
    bool take(core::TimePoint now);

private:
    double m_packetsPerSecond;
    double m_burst;
    double m_available;
    core::TimePoint m_filledAt;
};

} // namespace ibisgw::balancer
