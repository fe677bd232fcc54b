#pragma once

#include "ibisgw/packet/Packet.h"
#include "ibisgw/upstream/Announcement.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace ibisgw::adapters {

// Largest datagram that is sent or accepted; stays below the usual Ethernet MTU so that the
// network does not fragment it.
inline constexpr std::size_t maxDatagramBytes = 1400;

using Datagram = std::vector<std::byte>;

// Writes one packet as a CBOR array; reuses the capacity of the buffer.
// False when the packet does not fit into maxDatagramBytes.
bool encodePacket(const packet::Packet&, Datagram&);

// Empty for a truncated, oversized or malformed datagram, or one of another protocol version.
// The payload of the result points into the datagram.
std::optional<packet::Packet> decodePacket(std::span<const std::byte>);

bool encodeAnnouncement(const upstream::Announcement&, Datagram&);
std::optional<upstream::Announcement> decodeAnnouncement(std::span<const std::byte>);

// The kind of frame in a datagram, from its first fields.
enum class FrameKind : std::uint8_t {
    Packet,
    Announcement,
    Heartbeat, // balancer -> fabric: the balancer takes packets
    Withdrawal, // balancer -> fabric: the balancer is about to stop
};

std::optional<FrameKind> peekFrameKind(std::span<const std::byte>);

// Heartbeat or withdrawal of a balancer that takes packets on the two given endpoints.
struct BalancerPresence {
    FrameKind kind { FrameKind::Heartbeat };
    core::Endpoint callerSide;
    core::Endpoint upstreamSide;
};

bool encodePresence(const BalancerPresence&, Datagram&);
std::optional<BalancerPresence> decodePresence(std::span<const std::byte>);

} // namespace ibisgw::adapters
