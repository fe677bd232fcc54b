#pragma once

#include "ibisgw/upstream/InstanceDirectory.h"

#include <map>
#include <vector>

namespace ibisgw::upstream {

// One incarnation of an upstream that several balancers have found not to answer requests.
struct FailureMark {
    InstanceId id;
    core::Incarnation incarnation { 0 };

    bool operator==(const FailureMark&) const = default;
};

// Collects the reports of balancers that an upstream accepts requests and doesn't answer them. The upstream is marked
// once two balancers have reported it within a few seconds. The mark ends some time after the last report, and that
// time doubles with each mark that soon follows another one. A mark only makes new flows prefer other upstreams. At
// most a third of a service, or one upstream, is marked at a time.
class FailureMarker {
public:
    // Returns whether the report has marked the upstream.
    bool note(const InstanceDirectory&, const FailureMark&, core::NodeId reporter, core::TimePoint now);
    std::vector<FailureMark> marks(core::TimePoint now) const;
    // Removes reports and marks that are over.
    void expire(core::TimePoint now);

private:
    struct Reports {
        core::Incarnation incarnation { 0 };
        // Last report of each balancer.
        std::map<core::NodeId, core::TimePoint> reporters;
        core::TimePoint markedUntil {};
        core::Duration markDuration { 0 };
    };

    bool isMarked(const InstanceRecord&, core::TimePoint now) const;

    std::map<InstanceId, Reports> m_reports;
};

} // namespace ibisgw::upstream
