#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/upstream/LoadEstimate.h"
#include "ibisgw/upstream/UpstreamSelector.h"

#include <deque>

namespace ibisgw::upstream {

// Join-Idle-Queue (Lu et al., 2011): an upstream joins the queue when one of its responses passes this balancer. While
// the queue is empty, the less loaded of two random candidates is selected (Mitzenmacher, 2001).
class JoinIdleQueueSelector final : public UpstreamSelector {
public:
    JoinIdleQueueSelector(const LoadEstimate&, core::RandomSource&);

    core::UpstreamId select(const std::vector<SelectionCandidate>&, core::TimePoint now) override;
    void noteAnswer(core::UpstreamId, core::TimePoint now) override;
    void forget(core::UpstreamId) override;

private:
    struct IdleEntry {
        core::UpstreamId upstream;
        core::TimePoint since;
    };

    const LoadEstimate& m_load;
    core::RandomSource& m_random;
    std::deque<IdleEntry> m_idle;
};

} // namespace ibisgw::upstream
