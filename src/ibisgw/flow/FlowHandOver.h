#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"

#include <cstddef>

namespace ibisgw::flow {

// Message to the new home of a flow with the flow's upstream, which the home can't derive: the flow is a stream that is
// not on its default upstream, or carries short requests.
struct FlowHandOver {
    core::NodeId target;
    core::FlowKey flow;
    core::UpstreamId upstream;
    bool isSticky { false };
};

// The two endpoints of the flow and the upstream, of 6 bytes each, and the flag.
constexpr std::size_t flowHandOverWireBytes = 19;

} // namespace ibisgw::flow
