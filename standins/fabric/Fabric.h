#pragma once

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/PacketCodec.h"
#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/core/PcgRandomSource.h"

#include <vector>

namespace standins {

struct FabricOptions {
    std::uint64_t seed { 1 };
    // Probabilities, from 0 to 1, that a packet is lost or delivered twice.
    double loss { 0.0 };
    double duplication { 0.0 };
};

// Simulates the network in front of the balancers: forwards each packet to a random balancer among those whose last
// heartbeat is at most a second old.
class Fabric {
public:
    Fabric(FabricOptions, ibisgw::adapters::UdpSocket callerSide, ibisgw::adapters::UdpSocket upstreamSide);

    void run();

private:
    struct BalancerLink {
        ibisgw::adapters::BalancerPresence presence;
        ibisgw::core::TimePoint lastHeartbeatAt;
    };

    void receiveFromCallers(std::span<const std::byte>);
    void receiveFromUpstreams(std::span<const std::byte>);
    void updateBalancers(const ibisgw::adapters::BalancerPresence&);
    const BalancerLink* pickBalancer();
    // Draws the number of copies of a packet that are delivered: 0, 1 or 2.
    int drawCopies();

    FabricOptions m_options;
    ibisgw::core::PcgRandomSource m_random;
    ibisgw::adapters::UdpSocket m_callerSide;
    ibisgw::adapters::UdpSocket m_upstreamSide;
    ibisgw::adapters::EventLoop m_loop;
    std::vector<BalancerLink> m_balancers;
};

} // namespace standins
