#pragma once

#include "ibisgw/flow/FlowRecord.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace ibisgw::adapters {

// Encodes a flow record as three CBOR integers for a gossip message. The origin is not included: the gossip item that
// holds the record carries it.
std::vector<std::uint8_t> encodeFlowRecord(const flow::FlowRecord&);

// Empty for malformed input.
std::optional<flow::FlowRecord> decodeFlowRecord(const std::vector<std::uint8_t>&, core::NodeId origin);

} // namespace ibisgw::adapters
