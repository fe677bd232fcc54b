#pragma once

#include "ibisgw/direct/InstanceLoad.h"
#include "ibisgw/upstream/InstanceDirectory.h"

#include <span>

namespace ibisgw::direct {

// An upstream that may get a new flow.
struct Candidate {
    const upstream::InstanceRecord* record { nullptr };
    const InstanceLoad* load { nullptr };
    bool isInOwnZone { false };
    // Overdue with its reports, unresponsive, or has left opening packets unanswered: selected only if no other is
    // left.
    bool isSuspect { false };
};

// Policy that selects the upstream of a new flow. Implementations are stateless.
class InstanceSelector {
public:
    virtual ~InstanceSelector();

    // Returns null only if there is no candidate.
    virtual const Candidate* select(std::span<const Candidate>, core::TimePoint now) const = 0;
};

} // namespace ibisgw::direct
