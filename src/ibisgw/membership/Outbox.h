#pragma once

#include "ibisgw/membership/ControlBudget.h"
#include "ibisgw/membership/GossipMessage.h"
#include "ibisgw/membership/GossipOutput.h"

#include <array>
#include <deque>

namespace ibisgw::membership {

// Queues messages until the control budget allows them; first in, first out within each priority.
class Outbox {
public:
    // Messages are dropped after this time in the queue, since the receiver no longer waits for them.
    static constexpr core::Duration maxWait = std::chrono::seconds(1);
    static constexpr core::Duration maxConfigurationWait = std::chrono::seconds(3);
    // Largest number of queued messages of one priority; further ones are dropped.
    static constexpr std::size_t maxMessages = 64;

    explicit Outbox(ControlBudget&);

    // Sends the message at once if the budget allows it, otherwise queues it.
    void send(Priority, core::NodeId, GossipMessage, core::TimePoint now, GossipOutput&);
    // Sends the queued messages that the budget allows now, and drops those that waited too long.
    void flush(core::TimePoint now, GossipOutput&);
    std::size_t queuedCount(Priority) const;

    std::uint64_t sentMessages() const { return m_sentMessages; }
    std::uint64_t droppedMessages() const { return m_droppedMessages; }

private:
    struct QueuedMessage {
        core::NodeId to;
        GossipMessage message;
        std::size_t bytes { 0 };
        core::TimePoint queuedAt;
    };

    ControlBudget& m_budget;
    std::array<std::deque<QueuedMessage>, 4> m_queues;
    std::uint64_t m_sentMessages { 0 };
    std::uint64_t m_droppedMessages { 0 };
};

} // namespace ibisgw::membership
