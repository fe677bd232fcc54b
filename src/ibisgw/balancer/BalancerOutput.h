#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/packet/Packet.h"

namespace ibisgw::balancer {

// An extra attempt of a late request, for the log.
struct HedgedRequest {
    core::FlowKey flow;
    core::RequestId request { 0 };
    core::UpstreamId first;
    core::UpstreamId second;
};

// Interface through which a balancer sends packets. The daemon implements it with sockets, tests with queues.
class BalancerOutput {
public:
    virtual ~BalancerOutput();

    virtual void sendToUpstream(core::UpstreamId, const packet::Packet&) = 0;
    virtual void sendToCaller(const packet::Packet&) = 0;
    // Sends a packet to another balancer, for example to the home of its flow.
    virtual void sendToPeer(core::NodeId, const packet::Packet&) = 0;
    // An extra attempt of a request has started.
    virtual void noteHedged(const HedgedRequest&) { }
};

} // namespace ibisgw::balancer
