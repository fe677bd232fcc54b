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

// Hands flows over to their new homes at a rate within the control budget, and resends batches that were not
// acknowledged.
class HandOverSender {
public:
    HandOverSender(ControlClient&, ibisgw::balancer::Balancer&);

    void tick(ibisgw::core::TimePoint now);
    // True if no flow is left to hand over: every one was acknowledged or abandoned after the last attempt.
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
    // Batches to resend.
    std::vector<Batch> m_unacknowledged;
    std::size_t m_batchesInFlight { 0 };
};

} // namespace ibisgwd
