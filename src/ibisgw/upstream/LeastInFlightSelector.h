#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/upstream/LoadEstimate.h"
#include "ibisgw/upstream/UpstreamSelector.h"

#include <unordered_map>

namespace ibisgw::upstream {

// Selects the upstream with the fewest requests in flight from this balancer and, among equals, the one that has waited
// longest for new work. Uses only local state, so that balancers don't all select the same upstream after its report or
// its join (herd behaviour).
class LeastInFlightSelector final : public UpstreamSelector {
public:
    LeastInFlightSelector(const LoadEstimate&, core::RandomSource&);

    core::UpstreamId select(const std::vector<SelectionCandidate>&, core::TimePoint now) override;
    void noteAnswer(core::UpstreamId, core::TimePoint now) override;
    void forget(core::UpstreamId) override;

private:
    const LoadEstimate& m_load;
    core::RandomSource& m_random;
    // Pass value of each upstream as in stride scheduling: increases by 1/share with each selection, so that an
    // upstream that is warming up is selected less often.
    std::unordered_map<core::UpstreamId, double> m_pass;
};

} // namespace ibisgw::upstream
