#include "ibisgw/direct/EgressPacer.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

// IP and UDP headers of a datagram (28 bytes), and what Ethernet adds to a frame: preamble, header, checksum and gap.
// Without the latter, a link whose packets are mostly signals was overfilled by a fifth and lost packets.
constexpr std::size_t framingBytes = 28 + 38;

// The acknowledgement of a sent packet reaches the caller within this time. A retransmission that arrives earlier was
// caused by the time that the packet spent in the queue, and is dropped.
constexpr core::Duration retransmissionWindow = std::chrono::milliseconds(60);

// Share of the link's rate for packets of callers; the rest is left to messages between daemons.
constexpr double pacedRateShare = 0.92;

// A packet of class Bulk that has waited this long is sent before others, once these have sent as many bytes as this
// multiple of it. Without that, uploads would stop while the link is full.
constexpr core::Duration maxBulkWait = std::chrono::milliseconds(100);
constexpr std::size_t bytesBeforeBulk = 7;

} // namespace

EgressPacer::EgressPacer(PacerOptions options)
    : m_options(options)
    , m_availableBytes(static_cast<double>(options.burstBytes))
{
}

std::size_t EgressPacer::costOf(std::size_t bytes)
{
    return bytes + framingBytes;
}

double EgressPacer::pacedRate(std::uint64_t bytesPerSecond)
{
    return pacedRateShare * static_cast<double>(bytesPerSecond);
}

void EgressPacer::refill(core::TimePoint now)
{
    const auto elapsed = core::toSeconds(now - m_refilledAt);
    m_refilledAt = now;
    const auto refilledBytes = elapsed * pacedRate(m_options.bytesPerSecond);
    m_availableBytes = std::min(m_availableBytes + refilledBytes, static_cast<double>(m_options.burstBytes));
}

bool EgressPacer::admit(std::size_t bytes, core::TimePoint now)
{
    if (m_options.bytesPerSecond == 0)
        return true;
    refill(now);
    if (!isEmpty() || m_availableBytes <= 0)
        return false;
    m_availableBytes -= static_cast<double>(costOf(bytes));
    return true;
}

bool EgressPacer::enqueue(EgressPacket packet, core::TimePoint now)
{
    removeOldSent(now);
    if (isCopy(packet.identity)) {
        ++m_droppedRetransmissions;
        return false;
    }
    if (m_queuedBytes + packet.bytes.size() > m_options.maxQueuedBytes) {
        ++m_droppedFull;
        return false;
    }
    if (packet.identity != 0)
        m_recentPackets[packet.identity] = core::TimePoint::max();
    m_queuedBytes += packet.bytes.size();
    packet.queuedAt = now;
    m_queuedCosts[static_cast<std::size_t>(packet.egressClass)] += costOf(packet.bytes.size());
    m_queues[static_cast<std::size_t>(packet.egressClass)].push_back(std::move(packet));
    return true;
}

std::optional<EgressPacket> EgressPacer::next(core::TimePoint now)
{
    refill(now);
    if (m_availableBytes <= 0)
        return std::nullopt;
    auto& queue = nextQueue(now);
    if (queue.empty())
        return std::nullopt;
    auto packet = std::move(queue.front());
    queue.pop_front();
    const auto cost = costOf(packet.bytes.size());
    m_queuedBytes -= packet.bytes.size();
    m_queuedCosts[static_cast<std::size_t>(packet.egressClass)] -= cost;
    m_availableBytes -= static_cast<double>(cost);
    m_sentBeforeBulk = packet.egressClass == EgressClass::Bulk ? 0 : m_sentBeforeBulk + cost;
    if (packet.identity != 0) {
        m_recentPackets[packet.identity] = now;
        m_sent.emplace_back(now, packet.identity);
    }
    return packet;
}

// The first queue that isn't empty; any if all are.
std::deque<EgressPacket>& EgressPacer::nextQueue(core::TimePoint now)
{
    auto& bulk = m_queues[static_cast<std::size_t>(EgressClass::Bulk)];
    if (isBulkStarved(now))
        return bulk;
    const auto first = std::ranges::find_if(m_queues, [](const auto& it) { return !it.empty(); });
    return first == std::end(m_queues) ? bulk : *first;
}

bool EgressPacer::isBulkStarved(core::TimePoint now) const
{
    const auto& bulk = m_queues[static_cast<std::size_t>(EgressClass::Bulk)];
    return longestWait(EgressClass::Bulk, now) > maxBulkWait
        && m_sentBeforeBulk >= bytesBeforeBulk * costOf(bulk.front().bytes.size());
}

std::size_t EgressPacer::queuedCost(EgressClass egressClass) const
{
    return m_queuedCosts[static_cast<std::size_t>(egressClass)];
}

core::Duration EgressPacer::longestWait(EgressClass egressClass, core::TimePoint now) const
{
    const auto& queue = m_queues[static_cast<std::size_t>(egressClass)];
    return queue.empty() ? core::Duration::zero() : now - queue.front().queuedAt;
}

void EgressPacer::removeOldSent(core::TimePoint now)
{
    while (!m_sent.empty() && now - m_sent.front().first > retransmissionWindow) {
        const auto found = m_recentPackets.find(m_sent.front().second);
        if (found != m_recentPackets.end() && found->second == m_sent.front().first)
            m_recentPackets.erase(found);
        m_sent.pop_front();
    }
}

} // namespace ibisgw::direct
