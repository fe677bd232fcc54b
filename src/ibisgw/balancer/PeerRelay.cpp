#include "ibisgw/balancer/PeerRelay.h"

namespace ibisgw::balancer {

PeerRelay::PeerRelay(const FlowHomes& homes, RelayBudget budget, BalancerCounters& counters)
    : m_homes(homes)
    , m_budget(budget)
    , m_counters(counters)
{
}

bool PeerRelay::relayToHome(const packet::Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    if (packet.relayHops >= maxHops)
        return false;
    const auto home = m_homes.homeOf(packet.flow);
    if (!home.isValid() || home == m_homes.self())
        return false;
    auto relayed = packet;
    ++relayed.relayHops;
    send(relayed, home, now, output);
    return true;
}

void PeerRelay::send(const packet::Packet& packet, core::NodeId target, core::TimePoint now, BalancerOutput& output)
{
    if (!m_budget.take(now)) {
        ++m_counters.droppedRelays;
        return;
    }
    ++m_counters.packetsRelayed;
    output.sendToPeer(target, packet);
}

} // namespace ibisgw::balancer
