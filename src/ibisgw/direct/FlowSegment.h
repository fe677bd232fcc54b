#pragma once

#include "ibisgw/core/FlowKey.h"

#include <cstdint>

namespace ibisgw::direct {

// Header fields that a balancer reads from one packet of a caller. Upstreams send their responses directly to the
// caller (direct server return), so a balancer never receives packets of the other direction.
struct FlowSegment {
    core::FlowKey flow;
    // Token of the flow's upstream: the balancer passes it to the upstream with the opening packet, and the caller
    // puts it into each later packet. 0 in an opening packet.
    std::uint32_t token { 0 };
    std::uint32_t sequence { 0 };
    // Acknowledgement number. In an opening packet: the number of earlier transmissions of it, 0 for the first.
    std::uint32_t acknowledged { 0 };
    std::uint16_t payloadBytes { 0 };
    bool isOpening { false };
    bool isAcknowledging { false };
    bool isFinishing { false };
    bool isReset { false };
};

} // namespace ibisgw::direct
