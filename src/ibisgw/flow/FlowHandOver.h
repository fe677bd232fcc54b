#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"

#include <cstddef>

namespace ibisgw::flow {

// Tells the new home of a flow what it cannot derive: a stream that is not on its default upstream and
// has no record, or a flow with a short request.
struct FlowHandOver {
    core::NodeId target;
    core::FlowKey flow;
    core::UpstreamId upstream;
    bool isSticky { false };
};

// Two endpoints and the upstream of 6 bytes each, and the flag.
constexpr std::size_t flowHandOverWireBytes = 19;

} // namespace ibisgw::flow
