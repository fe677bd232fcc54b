#pragma once

#include "ibisgw/configuration/RaftMessage.h"

namespace ibisgw::configuration {

// Receives the messages of a RaftNode. Delivery may fail, repeat and reorder.
class RaftOutput {
public:
    virtual ~RaftOutput();

    virtual void send(core::NodeId, const RaftMessage&) = 0;
};

} // namespace ibisgw::configuration
