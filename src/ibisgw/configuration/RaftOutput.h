#pragma once

#include "ibisgw/configuration/RaftMessage.h"

namespace ibisgw::configuration {

// Sends the messages of a RaftNode. Messages may be lost, duplicated and reordered.
class RaftOutput {
public:
    virtual ~RaftOutput();

    virtual void send(core::NodeId, const RaftMessage&) = 0;
};

} // namespace ibisgw::configuration
