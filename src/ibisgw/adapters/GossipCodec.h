#pragma once

#include "ibisgw/membership/GossipMessage.h"

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

namespace ibisgw::adapters {

// Encodes a message as a CBOR array, the body of an authenticated datagram on Channel::Gossip.
// Returns false when the encoding exceeds membership::maxBodyBytes.
bool encodeGossip(const membership::GossipMessage&, std::vector<std::byte>&);

// Returns nothing for a truncated, oversized or malformed body, or one of another protocol version.
std::optional<membership::GossipMessage> decodeGossip(std::span<const std::byte>);

} // namespace ibisgw::adapters
