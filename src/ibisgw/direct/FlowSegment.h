#pragma once

#include "ibisgw/core/FlowKey.h"

#include <cstdint>

namespace ibisgw::direct {

// What a balancer reads of one packet of a caller. The upstream answers the caller directly, so a balancer
// never sees the other direction.
struct FlowSegment {
    core::FlowKey flow;
    // Token that the upstream received with the flow and that the caller returns; 0 in the first packet.
    std::uint32_t token { 0 };
    std::uint32_t sequence { 0 };
    // For an opening packet the number of its copy, 0 for the first.
    std::uint32_t acknowledged { 0 };
    std::uint16_t payloadBytes { 0 };
    bool isOpening { false };
    bool isAcknowledging { false };
    bool isFinishing { false };
    bool isReset { false };
};

} // namespace ibisgw::direct
