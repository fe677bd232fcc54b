#pragma once

#include "ibisgw/balancer/BalancerCounters.h"
#include "ibisgw/balancer/BalancerOutput.h"
#include "ibisgw/balancer/FlowHomes.h"
#include "ibisgw/balancer/RelayBudget.h"

namespace ibisgw::balancer {

// Sends packets to other balancers within the relay budget.
class PeerRelay {
public:
    // A packet visits at most this many balancers before it leaves for its upstream.
    static constexpr std::uint8_t maxHops = 2;

    PeerRelay(const FlowHomes&, RelayBudget, BalancerCounters&);

    // True when the packet needs no further work here: it was relayed, or dropped beyond the budget.
    bool relayToHome(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    // Sends the packet with its hop count as it is.
    void send(const packet::Packet&, core::NodeId, core::TimePoint now, BalancerOutput&);

private:
    const FlowHomes& m_homes;
    RelayBudget m_budget;
    BalancerCounters& m_counters;
};

} // namespace ibisgw::balancer
