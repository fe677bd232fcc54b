#include "ibisgw/membership/Outbox.h"

namespace ibisgw::membership {

Outbox::Outbox(ControlBudget& budget)
    : m_budget(budget)
{
}

void Outbox::send(Priority priority, core::NodeId to, GossipMessage message, core::TimePoint now, GossipOutput& output)
{
    auto& queue = m_queues[static_cast<std::size_t>(priority)];
    const auto bytes = encodedSize(message);
    // A body that does not fit into a datagram can never be sent.
    if (bytes > maxBodyBytes || queue.size() >= maxMessages) {
        ++m_droppedMessages;
        return;
    }
    queue.push_back({ to, std::move(message), bytes, now });
    flush(now, output);
}

void Outbox::flush(core::TimePoint now, GossipOutput& output)
{
    for (std::size_t n = 0; n < m_queues.size(); ++n) {
        auto& queue = m_queues[n];
        while (!queue.empty()) {
            auto& next = queue.front();
            if (now - next.queuedAt
                > (n == static_cast<std::size_t>(Priority::Configuration) ? maxConfigurationWait : maxWait)) {
                ++m_droppedMessages;
                queue.pop_front();
                continue;
            }
            if (!m_budget.trySpend(static_cast<Priority>(n), next.bytes, now))
                break;
            ++m_sentMessages;
            output.send(next.to, next.message);
            queue.pop_front();
        }
    }
}

std::size_t Outbox::queuedCount(Priority priority) const
{
    return m_queues[static_cast<std::size_t>(priority)].size();
}

} // namespace ibisgw::membership
