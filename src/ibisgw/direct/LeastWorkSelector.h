#pragma once

#include "ibisgw/direct/InstanceSelector.h"

namespace ibisgw::direct {

// Answers short bursts and uneven zones: takes the upstream with the least work for each slot, and among equals
// the one that got work longest ago. Upstreams of other zones take part once those of the own zone are busy.
class LeastWorkSelector final : public InstanceSelector {
public:
    const Candidate* select(std::span<const Candidate>, core::TimePoint now) const override;
};

} // namespace ibisgw::direct
