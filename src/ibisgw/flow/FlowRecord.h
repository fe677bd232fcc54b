#pragma once

#include "ibisgw/core/Ids.h"

#include <cstddef>
#include <cstdint>

namespace ibisgw::flow {

// Tells the balancers of a group that a flow is not on its default upstream, or, with an invalid
// upstream, that it no longer needs a record.
struct FlowRecord {
    std::uint64_t flowHash { 0 };
    core::UpstreamId upstream;
    // Balancer that published the record, and its number there; the next one has the next number.
    core::NodeId origin;
    std::uint64_t sequence { 0 };

    bool operator==(const FlowRecord&) const = default;
};

// Flow hash and 48-bit upstream; a datagram holds the origin and its first sequence once.
constexpr std::size_t flowRecordWireBytes = 14;
constexpr std::size_t flowRecordHeaderBytes = 16;

} // namespace ibisgw::flow
