#pragma once

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/PacketCodec.h"
#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/core/PcgRandomSource.h"

#include <vector>

namespace standins {

struct FabricOptions {
    std::uint64_t seed { 1 };
    // Shares of the packets that are lost or delivered twice.
    double loss { 0.0 };
    double duplication { 0.0 };
};

// Stand-in of the network in front of the balancers: hands each packet to a random balancer among
// those that have sent a heartbeat lately.
class Fabric {
public:
    Fabric(FabricOptions, ibisgw::adapters::UdpSocket callerSide, ibisgw::adapters::UdpSocket upstreamSide);

    void run();

private:
    struct BalancerLink {
        ibisgw::adapters::BalancerPresence presence;
        ibisgw::core::TimePoint heardAt;
    };

    void receiveFromCallers(std::span<const std::byte>);
    void receiveFromUpstreams(std::span<const std::byte>);
    void notePresence(const ibisgw::adapters::BalancerPresence&);
    const BalancerLink* pickBalancer();
    // How many copies of a packet are delivered: 0, 1 or 2.
    int copies();

    FabricOptions m_options;
    ibisgw::core::PcgRandomSource m_random;
    ibisgw::adapters::UdpSocket m_callerSide;
    ibisgw::adapters::UdpSocket m_upstreamSide;
    ibisgw::adapters::EventLoop m_loop;
    std::vector<BalancerLink> m_balancers;
};

} // namespace standins
