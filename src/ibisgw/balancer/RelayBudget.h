#pragma once

#include "ibisgw/core/Time.h"

namespace ibisgw::balancer {

// Token bucket for relayed packets. It limits the load on the peers of a balancer that has few flows in its table, for
// example after a restart, and relays most of its packets.
class RelayBudget {
public:
    RelayBudget(double packetsPerSecond, double burst);

    // Takes a token for one packet. False when none is left: the packet must not be relayed.
    bool take(core::TimePoint now);

private:
    double m_packetsPerSecond;
    double m_burst;
    double m_available;
    core::TimePoint m_refilledAt;
};

} // namespace ibisgw::balancer
