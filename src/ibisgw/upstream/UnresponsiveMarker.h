#pragma once

#include "ibisgw/upstream/InstanceDirectory.h"

#include <unordered_map>

namespace ibisgw::upstream {

// Handles reports of balancers to a controller that an upstream responds neither to callers nor to probes. The upstream
// is marked as overdue before its own reports are missing, so that every balancer probes it. False reports do little
// harm: a mark only makes new flows prefer other upstreams and ends with the upstream's next report. At most a third of
// a service, or one upstream, is marked, so that a partitioned balancer can't take a service out of use.
class UnresponsiveMarker {
public:
    // Handles a report about one incarnation of an upstream. Returns whether the upstream was marked.
    bool note(InstanceDirectory&, InstanceId, core::Incarnation, core::TimePoint now);

private:
    // When upstreams were last marked. A mark that was ended by the upstream's own report isn't repeated for a while.
    std::unordered_map<InstanceId, core::TimePoint> m_markedAt;
};

} // namespace ibisgw::upstream
