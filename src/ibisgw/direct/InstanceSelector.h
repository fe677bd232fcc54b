#pragma once

#include "ibisgw/direct/InstanceLoad.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <span>

namespace ibisgw::direct {

// One upstream that may take a new flow.
struct Candidate {
    const upstream::InstanceRecord* record { nullptr };
    const InstanceLoad* load { nullptr };
    bool isInOwnZone { false };
    // Has missed reports or left opening packets unanswered.
    bool isDoubtful { false };
};

// Chooses the upstream of a new flow. Implementations keep no state of their own.
class InstanceSelector {
public:
    virtual ~InstanceSelector();

    // Null when there is no candidate.
    virtual const Candidate* select(std::span<const Candidate>, core::TimePoint now) const = 0;
};

} // namespace ibisgw::direct
