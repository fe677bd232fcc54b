#pragma once

#include "ibisgw/membership/ControlBudget.h"
#include "ibisgw/membership/GossipMessage.h"
#include "ibisgw/membership/GossipOutput.h"

#include <array>
#include <deque>

namespace ibisgw::membership {

// Messages that wait for the budget, in order within each priority.
class Outbox {
public:
    // A message that waited longer has been given up by its receiver.
    static constexpr core::Duration maxWait = std::chrono::seconds(1);
    static constexpr core::Duration maxConfigurationWait = std::chrono::seconds(3);
    static constexpr std::size_t maxMessages = 64;

    explicit Outbox(ControlBudget&);

    // Sends at once if the budget has room, otherwise queues.
    void send(Priority, core::NodeId, GossipMessage, core::TimePoint now, GossipOutput&);
    void flush(core::TimePoint now, GossipOutput&);
    std::size_t waiting(Priority) const;

    std::uint64_t sentMessages() const { return m_sentMessages; }
    std::uint64_t droppedMessages() const { return m_droppedMessages; }

private:
    struct Waiting {
        core::NodeId to;
        GossipMessage message;
        std::size_t bytes { 0 };
        core::TimePoint since;
    };

    ControlBudget& m_budget;
    std::array<std::deque<Waiting>, 4> m_queues;
    std::uint64_t m_sentMessages { 0 };
    std::uint64_t m_droppedMessages { 0 };
};

} // namespace ibisgw::membership
