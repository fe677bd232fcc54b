#pragma once

#include "ibisgw/upstream/InstanceDirectory.h"

#include <unordered_map>

namespace ibisgw::upstream {

// Decides what a controller makes of a balancer's word that an upstream answers neither callers nor probes. The
// upstream is marked as overdue before its reports are missing, so every balancer probes it. A false word does little:
// a mark only lets new flows prefer others, ends with the upstream's next report, and never covers more than a part of
// a service, so that a balancer that is cut off cannot empty one.
class SilenceMarker {
public:
    // Whether the upstream was marked.
    bool note(InstanceDirectory&, InstanceId, core::Incarnation, core::TimePoint now);

private:
    static bool isWithinShare(const InstanceDirectory&, const InstanceReport&);

    // A word about an upstream that has reported itself since is only believed again after a while.
    std::unordered_map<InstanceId, core::TimePoint> m_markedAt;
};

} // namespace ibisgw::upstream
