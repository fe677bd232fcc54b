#pragma once

#include "ibisgw/packet/Packet.h"
#include "ibisgw/upstream/Announcement.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace ibisgw::adapters {

// Largest datagram that is sent or accepted; below the usual Ethernet MTU, so that the network does not fragment it.
inline constexpr std::size_t maxDatagramBytes = 1400;

using Datagram = std::vector<std::byte>;

// Encodes a packet as a CBOR array; reuses the capacity of the buffer.
// Returns false when the encoding exceeds maxDatagramBytes.
bool encodePacket(const packet::Packet&, Datagram&);

// Returns nothing for a truncated, oversized or malformed datagram, or one of another protocol version.
// The payload of the result points into the datagram.
std::optional<packet::Packet> decodePacket(std::span<const std::byte>);

bool encodeAnnouncement(const upstream::Announcement&, Datagram&);
std::optional<upstream::Announcement> decodeAnnouncement(std::span<const std::byte>);

// Kind of a frame; its number follows the protocol version in the datagram.
enum class FrameKind : std::uint8_t {
    Packet,
    Announcement,
    Heartbeat, // balancer -> fabric: the balancer accepts packets
    Withdrawal, // balancer -> fabric: the balancer is about to stop
};

// Reads only the header of the datagram.
std::optional<FrameKind> peekFrameKind(std::span<const std::byte>);

// Heartbeat or withdrawal of a balancer, with the endpoints on which it accepts packets of callers and of upstreams.
struct BalancerPresence {
    FrameKind kind { FrameKind::Heartbeat };
    core::Endpoint callerSide;
    core::Endpoint upstreamSide;
};

bool encodePresence(const BalancerPresence&, Datagram&);
std::optional<BalancerPresence> decodePresence(std::span<const std::byte>);

} // namespace ibisgw::adapters
