#pragma once

#include "ibisgw/core/Time.h"

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace ibisgw::direct {

struct PendingPacket {
    std::vector<std::byte> bytes;
    core::TimePoint arrivedAt;
};

// Answers the first moments after a start, and upstreams that are seconds old: packets that come before the
// configuration or the upstream is known here. Both arrive within a few milliseconds, while a sender repeats a dropped
// packet after 200 ms or more.
class PendingPackets {
public:
    static constexpr std::size_t maxBytes = std::size_t { 1 } << 20;
    // Shorter than the time after which senders repeat.
    static constexpr core::Duration lifetime = std::chrono::milliseconds(150);

    // False when the packet is too old or there is no room.
    bool add(std::span<const std::byte>, core::TimePoint arrivedAt, core::TimePoint now);
    // All packets in the order of their arrival. They are no longer held; one that is too old is not taken again.
    std::vector<PendingPacket> take();
    bool hasExpired(core::TimePoint now) const;

    bool isEmpty() const { return m_packets.empty(); }
    // Packets that were held in vain.
    std::uint64_t expiredCount() const { return m_expiredCount; }

private:
    std::vector<PendingPacket> m_packets;
    std::size_t m_bytes { 0 };
    std::uint64_t m_expiredCount { 0 };
};

} // namespace ibisgw::direct
