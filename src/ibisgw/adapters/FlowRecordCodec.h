#pragma once

#include "ibisgw/flow/FlowRecord.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ibisgw::adapters {

// A flow record as gossip carries it; the origin travels in the gossip item.
std::vector<std::uint8_t> encodeFlowRecord(const flow::FlowRecord&);

// Empty for malformed input.
std::optional<flow::FlowRecord> decodeFlowRecord(const std::vector<std::uint8_t>&, core::NodeId origin);

} // namespace ibisgw::adapters
