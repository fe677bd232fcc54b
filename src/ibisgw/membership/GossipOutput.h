#pragma once

#include "ibisgw/core/Ids.h"

namespace ibisgw::membership {

struct GossipMessage;

// Sends messages to other daemons; implemented by the daemon and by test fakes. Outbox has charged a message to the
// control budget before it calls send().
class GossipOutput {
public:
    virtual ~GossipOutput();

    virtual void send(core::NodeId, const GossipMessage&) = 0;
};

} // namespace ibisgw::membership
