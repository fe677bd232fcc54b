#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"

#include <vector>

namespace ibisgw::flow {

// Chooses the home balancer of a flow by rendezvous hashing over the synchronized balancers of the
// zone, so that a change of one balancer moves only the flows of that balancer.
class HomeRing {
public:
    void setBalancers(std::vector<core::NodeId>);

    // Invalid when the ring is empty.
    core::NodeId homeOf(const core::FlowKey&) const;
    const std::vector<core::NodeId>& balancers() const { return m_balancers; }

private:
    std::vector<core::NodeId> m_balancers;
};

} // namespace ibisgw::flow
