#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/flow/FlowHandOver.h"

#include <map>
#include <vector>

namespace ibisgw::balancer {
class Balancer;
}

namespace ibisgwd {

class ControlClient;

// Sends flows to their new homes at a rate that the control budget carries, and repeats those that were
// not acknowledged.
class HandOverSender {
public:
    HandOverSender(ControlClient&, ibisgw::balancer::Balancer&);

    void tick(ibisgw::core::TimePoint now);
    // True when every flow was acknowledged or given up.
    bool isIdle() const;

private:
    struct Batch {
        std::vector<ibisgw::flow::FlowHandOver> flows;
        int attempts { 0 };
    };

    void send(Batch, ibisgw::core::TimePoint now);

    ControlClient& m_client;
    ibisgw::balancer::Balancer& m_balancer;
    ibisgw::core::TimePoint m_nextSendAt;
    // Batches to repeat.
    std::vector<Batch> m_unacknowledged;
    std::size_t m_inFlight { 0 };
};

} // namespace ibisgwd
