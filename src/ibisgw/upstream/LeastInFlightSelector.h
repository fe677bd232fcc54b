#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/upstream/LoadEstimate.h"
#include "ibisgw/upstream/UpstreamSelector.h"

#include <unordered_map>

namespace ibisgw::upstream {

// The upstream with the least work in flight from this balancer; among equals, the one that has waited
// longest for new work. Only what this balancer itself knows decides, so balancers do not all turn to
// the same upstream after a report or a join.
class LeastInFlightSelector final : public UpstreamSelector {
public:
    LeastInFlightSelector(const LoadEstimate&, core::RandomSource&);

    core::UpstreamId select(const std::vector<SelectionCandidate>&, core::TimePoint now) override;
    void noteAnswer(core::UpstreamId, core::TimePoint now) override;
    void forget(core::UpstreamId) override;

private:
    const LoadEstimate& m_load;
    core::RandomSource& m_random;
    // Virtual time of the last selection of each upstream, in selections weighted by 1/share
    // (as in stride scheduling): a cold upstream comes up less often.
    std::unordered_map<core::UpstreamId, double> m_pass;
};

} // namespace ibisgw::upstream
