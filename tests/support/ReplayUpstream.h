#pragma once

#include "ibisgw/core/FlowKey.h"
#include "support/MessageQueue.h"

#include <deque>
#include <functional>

namespace support {

// Upstream of a load replay: executes requests in a fixed number of slots, queues a few more and sheds the rest.
class ReplayUpstream {
public:
    // Called with true when the request was executed, with false when it was shed without execution.
    using Reply = std::function<void(bool isExecuted)>;

    ReplayUpstream(MessageQueue&, std::uint16_t slots, std::size_t queueLimit);

    void setRunning(bool isRunning) { m_isRunning = isRunning; }
    bool isRunning() const { return m_isRunning; }
    void setSlowdown(double factor) { m_slowdown = factor; }
    void handleRequest(ibisgw::core::Duration serviceTime, Reply);
    std::uint64_t executedCount() const { return m_executed; }

private:
    struct Request {
        ibisgw::core::Duration serviceTime;
        Reply reply;
    };

    void start(const Request&);

    MessageQueue& m_queue;
    std::uint16_t m_slots;
    std::size_t m_queueLimit;
    double m_slowdown { 1 };
    bool m_isRunning { true };
    std::uint16_t m_busy { 0 };
    std::uint64_t m_executed { 0 };
    std::deque<Request> m_waiting;
};

} // namespace support
