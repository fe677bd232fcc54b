#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/packet/Packet.h"

namespace ibisgw::balancer {

// Interface through which a balancer sends packets. The daemon implements it with sockets, tests with queues.
class BalancerOutput {
public:
    virtual ~BalancerOutput();

    virtual void sendToUpstream(core::UpstreamId, const packet::Packet&) = 0;
    virtual void sendToCaller(const packet::Packet&) = 0;
    // Sends a packet to another balancer, for example to the home of its flow.
    virtual void sendToPeer(core::NodeId, const packet::Packet&) = 0;
};

} // namespace ibisgw::balancer
