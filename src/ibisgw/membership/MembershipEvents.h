#pragma once

#include "ibisgw/core/Time.h"

namespace ibisgw::configuration {
struct AcceptedRevision;
}
namespace ibisgw::upstream {
struct Announcement;
}

namespace ibisgw::membership {

struct FlowRecordItem;

// What a daemon learns from its peers. Called from within MembershipNode::handleMessage and tick.
class MembershipEvents {
public:
    virtual ~MembershipEvents();

    // A newer announcement of an upstream; renews its lease.
    virtual void announcementLearned(const upstream::Announcement&) = 0;
    virtual void flowRecordLearned(const FlowRecordItem&) = 0;
    virtual void revisionInForce(const configuration::AcceptedRevision&) = 0;
    // The result of MembershipNode::groupBalancers() differs from before.
    virtual void groupChanged() = 0;
    // This process did not run for the given time; its view of the others is out of date.
    virtual void pauseDetected(core::Duration) = 0;
};

} // namespace ibisgw::membership
