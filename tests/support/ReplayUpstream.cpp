#include "support/ReplayUpstream.h"

namespace support {

using namespace ibisgw;

ReplayUpstream::ReplayUpstream(MessageQueue& queue, std::uint16_t slots, std::size_t queueLimit)
    : m_queue(queue)
    , m_slots(slots)
    , m_queueLimit(queueLimit)
{
}

void ReplayUpstream::handleRequest(core::Duration serviceTime, Reply reply)
{
    if (m_busy < m_slots)
        start({ serviceTime, std::move(reply) });
    else if (m_waiting.size() < m_queueLimit)
        m_waiting.push_back({ serviceTime, std::move(reply) });
    else
        reply(false);
}

void ReplayUpstream::start(const Request& request)
{
    ++m_busy;
    ++m_executed;
    const auto time = std::chrono::duration_cast<core::Duration>(request.serviceTime * m_slowdown);
    m_queue.after(time, [this, reply = request.reply](auto) {
        --m_busy;
        if (!m_waiting.empty()) {
            start(m_waiting.front());
            m_waiting.pop_front();
        }
        reply(true);
    });
}

} // namespace support
