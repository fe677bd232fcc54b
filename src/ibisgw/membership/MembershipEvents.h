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

// Callbacks for data from peers and for changes of the membership. Called from within MembershipNode::handleMessage and
// tick.
class MembershipEvents {
public:
    virtual ~MembershipEvents();

    // A newer announcement of an upstream has arrived and has renewed its lease.
    virtual void announcementReceived(const upstream::Announcement&) = 0;
    virtual void flowRecordReceived(const FlowRecordItem&) = 0;
    virtual void revisionInForce(const configuration::AcceptedRevision&) = 0;
    // The result of MembershipNode::groupBalancers() has changed.
    virtual void groupChanged() = 0;
    // This process was suspended for the given time, so its member table is out of date.
    virtual void pauseDetected(core::Duration) = 0;
};

} // namespace ibisgw::membership
