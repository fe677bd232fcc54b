#pragma once

#include "ibisgw/core/Ids.h"

#include <cstddef>
#include <cstdint>

namespace ibisgw::flow {

// Record that a balancer publishes to its group when a flow is not on its default upstream. A record with an invalid
// upstream removes the earlier record of the flow.
struct FlowRecord {
    std::uint64_t flowHash { 0 };
    core::UpstreamId upstream;
    // Balancer that published the record, and the sequence number of the record among those of this balancer, without
    // gaps.
    core::NodeId origin;
    std::uint64_t sequence { 0 };

    bool operator==(const FlowRecord&) const = default;
};

// A record on the wire has the flow hash and the 48-bit upstream. The header of the datagram has the origin and the
// first sequence.
constexpr std::size_t flowRecordWireBytes = 14;
constexpr std::size_t flowRecordHeaderBytes = 16;

} // namespace ibisgw::flow
