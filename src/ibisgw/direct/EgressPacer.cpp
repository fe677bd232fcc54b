#include "ibisgw/direct/EgressPacer.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

// Headers of IP and UDP in front of each datagram.
constexpr std::size_t headerBytes = 28;

// An acknowledgement of a packet that has left is back within this time; a copy that arrives earlier was sent while
// the packet waited here.
constexpr core::Duration acknowledgementTime = std::chrono::milliseconds(60);

// Share of the rate of the link; the rest is for messages between daemons.
constexpr double paceShare = 0.92;

} // namespace

EgressPacer::EgressPacer(PacerOptions options)
    : m_options(options)
    , m_credit(static_cast<double>(options.burstBytes))
{
}

std::size_t EgressPacer::costOf(std::size_t bytes)
{
    return bytes + headerBytes;
}

void EgressPacer::refill(core::TimePoint now)
{
    const auto elapsed = core::toSeconds(now - m_refilledAt);
    m_refilledAt = now;
    const auto earned = elapsed * paceShare * static_cast<double>(m_options.bytesPerSecond);
    m_credit = std::min(m_credit + earned, static_cast<double>(m_options.burstBytes));
}

bool EgressPacer::admit(std::size_t bytes, core::TimePoint now)
{
    if (m_options.bytesPerSecond == 0)
        return true;
    refill(now);
    if (!isEmpty() || m_credit <= 0)
        return false;
    m_credit -= static_cast<double>(costOf(bytes));
    return true;
}

bool EgressPacer::enqueue(EgressPacket packet, core::TimePoint now)
{
    forgetSent(now);
    if (isCopy(packet.identity)) {
        ++m_droppedCopies;
        return false;
    }
    if (m_queuedBytes + packet.bytes.size() > m_options.maxQueuedBytes) {
        ++m_droppedFull;
        return false;
    }
    if (packet.identity != 0)
        m_known[packet.identity] = core::TimePoint::max();
    m_queuedBytes += packet.bytes.size();
    packet.queuedAt = now;
    m_queues[static_cast<std::size_t>(packet.egressClass)].push_back(std::move(packet));
    return true;
}

std::optional<EgressPacket> EgressPacer::next(core::TimePoint now)
{
    refill(now);
    if (m_credit <= 0)
        return std::nullopt;
    for (auto& queue : m_queues) {
        if (queue.empty())
            continue;
        auto packet = std::move(queue.front());
        queue.pop_front();
        m_queuedBytes -= packet.bytes.size();
        m_credit -= static_cast<double>(costOf(packet.bytes.size()));
        if (packet.identity != 0) {
            m_known[packet.identity] = now;
            m_sent.emplace_back(now, packet.identity);
        }
        return packet;
    }
    return std::nullopt;
}

void EgressPacer::forgetSent(core::TimePoint now)
{
    while (!m_sent.empty() && now - m_sent.front().first > acknowledgementTime) {
        const auto found = m_known.find(m_sent.front().second);
        if (found != m_known.end() && found->second == m_sent.front().first)
            m_known.erase(found);
        m_sent.pop_front();
    }
}

} // namespace ibisgw::direct
