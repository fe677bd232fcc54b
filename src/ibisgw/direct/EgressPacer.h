#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Time.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

// Strict priority of packets on a busy link, highest first.
enum class EgressClass : std::uint8_t {
    Control, // packets without data: open, acknowledge, close
    Interactive,
    Bulk, // gets a small share of the link when its packets have waited long
};
constexpr std::size_t egressClassCount = 3;

struct EgressPacket {
    EgressClass egressClass { EgressClass::Interactive };
    core::Endpoint target;
    // Equal for retransmissions of one packet; 0 if they aren't recognized as such.
    std::uint64_t identity { 0 };
    std::vector<std::byte> bytes;
    // Set by enqueue().
    core::TimePoint queuedAt;
};

struct PacerOptions {
    // Rate of this VM's link; 0 for no limit.
    std::uint64_t bytesPerSecond { 0 };
    // Largest burst after a pause; a slow link drops packets of larger bursts.
    std::size_t burstBytes { 4000 };
    std::size_t maxQueuedBytes { 256'000 };
};

// Paces packets to the rate of a slow link with a token bucket, so that a burst of uploads doesn't overflow the link:
// each dropped packet delays its sender by 200 ms or more. Packets queue by EgressClass, and retransmissions of a
// packet that is queued or was just sent are dropped.
class EgressPacer {
public:
    explicit EgressPacer(PacerOptions);

    // Rate in bytes a second at which packets of callers are sent on a link of this rate.
    static double pacedRate(std::uint64_t bytesPerSecond);

    // Returns true and accounts for the packet if it may be sent now. Otherwise pass it to enqueue().
    bool admit(std::size_t bytes, core::TimePoint now);
    // Returns false if the packet is dropped because it is a retransmission or the queue is full.
    bool enqueue(EgressPacket, core::TimePoint now);
    // Returns the next packet to send, or nothing while the queue is empty or the rate is exhausted.
    std::optional<EgressPacket> next(core::TimePoint now);

    bool isEmpty() const { return m_queuedBytes == 0; }
    std::size_t queuedBytes() const { return m_queuedBytes; }
    // Bytes that a datagram of this size takes on the link.
    static std::size_t costOf(std::size_t bytes);
    // Bytes that the queued packets of the class take on the link.
    std::size_t queuedCost(EgressClass) const;
    // How long the oldest queued packet of the class has waited; 0 if there is none.
    core::Duration longestWait(EgressClass, core::TimePoint now) const;
    std::uint64_t droppedRetransmissions() const { return m_droppedRetransmissions; }
    std::uint64_t droppedFull() const { return m_droppedFull; }

private:
    void refill(core::TimePoint now);
    std::deque<EgressPacket>& nextQueue(core::TimePoint now);
    bool isBulkStarved(core::TimePoint now) const;
    void removeOldSent(core::TimePoint now);
    bool isCopy(std::uint64_t identity) const { return identity != 0 && m_recentPackets.contains(identity); }

    PacerOptions m_options;
    // Bytes that may be sent now; negative after a packet larger than what was left.
    double m_availableBytes;
    core::TimePoint m_refilledAt {};
    std::deque<EgressPacket> m_queues[egressClassCount];
    std::size_t m_queuedBytes { 0 };
    std::array<std::size_t, egressClassCount> m_queuedCosts {};
    // Bytes of other classes sent since the last packet of class Bulk.
    std::size_t m_sentBeforeBulk { 0 };
    // Identities of packets that are queued (with TimePoint::max()) or were sent recently, with the time of sending.
    std::unordered_map<std::uint64_t, core::TimePoint> m_recentPackets;
    // Time of sending and identity of recently sent packets, in the order of sending.
    std::deque<std::pair<core::TimePoint, std::uint64_t>> m_sent;
    std::uint64_t m_droppedRetransmissions { 0 };
    std::uint64_t m_droppedFull { 0 };
};

} // namespace ibisgw::direct
