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

// Way of selecting the upstream of a flow that carries short requests.
class UpstreamSelector {
public:
    virtual ~UpstreamSelector();

    // Invalid only without candidates.
    virtual core::UpstreamId select(const std::vector<SelectionCandidate>&, core::TimePoint now) = 0;
    // An answer of the upstream to some balancer's request has passed: a slot has become free.
    virtual void noteAnswer(core::UpstreamId, core::TimePoint now) = 0;
    // The upstream is gone.
    virtual void forget(core::UpstreamId) = 0;
};

} // namespace ibisgw::upstream
