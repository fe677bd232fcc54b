#pragma once

#include "ibisgw/balancer/BalancerCounters.h"
#include "ibisgw/balancer/BalancerOutput.h"
#include "ibisgw/balancer/FlowHomes.h"
#include "ibisgw/balancer/RelayBudget.h"

namespace ibisgw::balancer {

// Sends packets to other balancers within the relay budget.
class PeerRelay {
public:
    // Limit of relays for a packet. It ends relay loops between balancers with different views of the group.
    static constexpr std::uint8_t maxHops = 2;

    PeerRelay(const FlowHomes&, RelayBudget, BalancerCounters&);

    // Relays the packet to the home of its flow. True when the packet was relayed, or dropped because the budget was
    // used up. False when this balancer is to process the packet: it is the home, there is none, or the hop limit is
    // reached.
    bool relayToHome(const packet::Packet&, core::TimePoint now, BalancerOutput&);
    // Sends the packet to the given balancer within the budget, without a change of its hop count.
    void send(const packet::Packet&, core::NodeId, core::TimePoint now, BalancerOutput&);

private:
    const FlowHomes& m_homes;
    RelayBudget m_budget;
    BalancerCounters& m_counters;
};

} // namespace ibisgw::balancer
