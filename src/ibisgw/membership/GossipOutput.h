#pragma once

#include "ibisgw/core/Ids.h"

namespace ibisgw::membership {

struct GossipMessage;

// Sends messages to other daemons; implemented by the daemon and by test fakes. The control budget has
// been charged before a message arrives here.
class GossipOutput {
public:
    virtual ~GossipOutput();

    virtual void send(core::NodeId, const GossipMessage&) = 0;
};

} // namespace ibisgw::membership
