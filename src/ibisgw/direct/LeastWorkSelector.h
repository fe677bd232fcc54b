#pragma once

#include "ibisgw/direct/InstanceSelector.h"

namespace ibisgw::direct {

// Selects the upstream with the least work per slot and, among equals, the one whose last work started longest ago.
// This spreads short bursts evenly. Upstreams of other zones are selected once those of the balancer's zone are busy,
// so that zones of unequal load share it.
class LeastWorkSelector final : public InstanceSelector {
public:
    const Candidate* select(std::span<const Candidate>, core::TimePoint now) const override;
};

} // namespace ibisgw::direct
