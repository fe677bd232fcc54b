#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

// Order in which packets leave when the link is busy.
enum class EgressClass : std::uint8_t {
    Signal, // without data: opens, acknowledgements, closes
    Interactive,
    Bulk,
};
constexpr std::size_t egressClassCount = 3;

struct EgressPacket {
    EgressClass egressClass { EgressClass::Interactive };
    core::Endpoint target;
    // Equal for copies of one packet; 0 when copies are not recognized.
    std::uint64_t identity { 0 };
    std::vector<std::byte> bytes;
    // Set by the pacer.
    core::TimePoint queuedAt;
};

struct PacerOptions {
    // Rate of the link of this VM; 0 for no limit.
    std::uint64_t bytesPerSecond { 0 };
    // Sent at once after a pause; a slow link drops what a larger burst holds.
    std::size_t burstBytes { 4000 };
    std::size_t maxQueuedBytes { 256'000 };
};

// Answers a burst of uploads on a slow link: a link that is full drops packets, and each loss costs the sender
// 200 ms or more. Packets therefore wait here for their turn, short ones of interactive flows first, and copies of a
// packet that waits or has just left are not sent again.
class EgressPacer {
public:
    explicit EgressPacer(PacerOptions);

    // True when the packet may be sent now, which is then accounted for. Otherwise call enqueue().
    bool admit(std::size_t bytes, core::TimePoint now);
    // False when the packet is a copy or the queue is full; the packet is dropped then.
    bool enqueue(EgressPacket, core::TimePoint now);
    // The next packet whose turn has come.
    std::optional<EgressPacket> next(core::TimePoint now);

    bool isEmpty() const { return m_queuedBytes == 0; }
    std::size_t queuedBytes() const { return m_queuedBytes; }
    std::uint64_t droppedCopies() const { return m_droppedCopies; }
    std::uint64_t droppedFull() const { return m_droppedFull; }

private:
    static std::size_t costOf(std::size_t bytes);
    void refill(core::TimePoint now);
    void forgetSent(core::TimePoint now);
    bool isCopy(std::uint64_t identity) const { return identity != 0 && m_known.contains(identity); }

    PacerOptions m_options;
    double m_credit;
    core::TimePoint m_refilledAt {};
    std::deque<EgressPacket> m_queues[egressClassCount];
    std::size_t m_queuedBytes { 0 };
    // Packets that wait or have left a moment ago.
    std::unordered_map<std::uint64_t, core::TimePoint> m_known;
    std::deque<std::pair<core::TimePoint, std::uint64_t>> m_sent;
    std::uint64_t m_droppedCopies { 0 };
    std::uint64_t m_droppedFull { 0 };
};

} // namespace ibisgw::direct
