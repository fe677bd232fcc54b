#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <vector>

namespace ibisgw::upstream {

// An upstream that may get a new request, with its share of new work (below 1 while it warms up).
struct SelectionCandidate {
    core::UpstreamId upstream;
    double share { 1 };
};

// Policy that selects the upstream of a flow with short requests.
class UpstreamSelector {
public:
    virtual ~UpstreamSelector();

    // Returns an invalid identifier only if there is no candidate.
    virtual core::UpstreamId select(const std::vector<SelectionCandidate>&, core::TimePoint now) = 0;
    // A response of the upstream to a request of any balancer has passed this balancer: a slot has become free.
    virtual void noteAnswer(core::UpstreamId, core::TimePoint now) = 0;
    // Removes the state of an upstream that is gone.
    virtual void forget(core::UpstreamId) = 0;
};

} // namespace ibisgw::upstream
