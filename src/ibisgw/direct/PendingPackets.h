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

// Buffers packets that arrive before the balancer has received the configuration or the upstream that they need, as
// happens after a start of the balancer or of an upstream. Both arrive within a few milliseconds, while a sender
// retransmits a dropped packet only after 200 ms or more.
class PendingPackets {
public:
    static constexpr std::size_t maxBytes = std::size_t { 1 } << 20;
    // A packet that waits longer is answered late in any case, and its sender retransmits it. Forwarding all of them
    // when the state arrives would fill the queues of upstreams at the cost of requests that can be answered in time.
    static constexpr core::Duration lifetime = std::chrono::milliseconds(75);

    // Returns false if the packet is older than the lifetime or the buffer is full.
    bool add(std::span<const std::byte>, core::TimePoint arrivedAt, core::TimePoint now);
    // Removes and returns all packets in order of arrival. A packet that still can't be forwarded may be added again
    // with its time of arrival, until it exceeds the lifetime.
    std::vector<PendingPacket> take();
    // Whether the oldest packet exceeds the lifetime.
    bool hasExpired(core::TimePoint now) const;

    bool isEmpty() const { return m_packets.empty(); }
    // Number of packets that exceeded the lifetime before they could be forwarded.
    std::uint64_t expiredCount() const { return m_expiredCount; }

private:
    std::vector<PendingPacket> m_packets;
    std::size_t m_bytes { 0 };
    std::uint64_t m_expiredCount { 0 };
};

} // namespace ibisgw::direct
