#pragma once

#include "ibisgw/balancer/BalancerOutput.h"

#include <utility>
#include <vector>

namespace support {

// Records the packets that a balancer sends, by kind of receiver and in the order of sending.
struct RecordingOutput final : ibisgw::balancer::BalancerOutput {
    void sendToUpstream(ibisgw::core::UpstreamId upstream, const ibisgw::packet::Packet& packet) override
    {
        toUpstreams.emplace_back(upstream, packet);
    }
    void sendToCaller(const ibisgw::packet::Packet& packet) override { toCallers.push_back(packet); }
    void sendToPeer(ibisgw::core::NodeId peer, const ibisgw::packet::Packet& packet) override
    {
        toPeers.emplace_back(peer, packet);
    }
    void clear()
    {
        toUpstreams.clear();
        toCallers.clear();
        toPeers.clear();
    }

    std::vector<std::pair<ibisgw::core::UpstreamId, ibisgw::packet::Packet>> toUpstreams;
    std::vector<ibisgw::packet::Packet> toCallers;
    std::vector<std::pair<ibisgw::core::NodeId, ibisgw::packet::Packet>> toPeers;
};

} // namespace support
