#pragma once

#include "ibisgw/direct/InstanceSelector.h"

namespace ibisgw::direct {

// Selects the upstream with the least work per slot and, among equals, the one whose last work started longest ago.
// This spreads short bursts evenly. Upstreams that have had no work from this balancer yet are equal in this, too; they
// are selected in an order of the balancer's own. With a common order, the first flows of balancers that start together
// meet at the same upstreams, and long flows stay there (measured in docs/design/shared-load.md). Upstreams of other
// zones are selected once those of the balancer's zone are busy, so that zones of unequal load share it.
class LeastWorkSelector final : public InstanceSelector {
public:
    // Balancers with different seeds have different orders.
    explicit LeastWorkSelector(std::uint64_t orderSeed);

    const Candidate* select(std::span<const Candidate>, core::TimePoint now) const override;

private:
    std::uint64_t m_orderSeed;
};

} // namespace ibisgw::direct
