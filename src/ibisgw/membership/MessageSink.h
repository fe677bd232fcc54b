#pragma once

#include "ibisgw/membership/ControlBudget.h"
#include "ibisgw/membership/GossipMessage.h"

namespace ibisgw::membership {

// Takes messages of the parts of a MembershipNode, which adds its header and charges the budget.
class MessageSink {
public:
    virtual ~MessageSink();

    virtual void post(Priority, core::NodeId, GossipMessage) = 0;
    // Messages of the priority that wait for the budget.
    virtual std::size_t waiting(Priority) const = 0;
};

} // namespace ibisgw::membership
