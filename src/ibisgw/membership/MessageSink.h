#pragma once

#include "ibisgw/membership/ControlBudget.h"
#include "ibisgw/membership/GossipMessage.h"

namespace ibisgw::membership {

// Receives the messages that the parts of a MembershipNode send. The node adds the header and queues them for the
// control budget.
class MessageSink {
public:
    virtual ~MessageSink();

    virtual void post(Priority, core::NodeId, GossipMessage) = 0;
    // Number of messages of the priority that are queued until the budget allows them.
    virtual std::size_t queuedCount(Priority) const = 0;
};

} // namespace ibisgw::membership
