#pragma once

#include "ibisgw/configuration/RaftMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace ibisgw::adapters {

// Largest encoded message. The largest messages are snapshots, which hold configuration documents of up to 1 MiB.
inline constexpr std::size_t maxRaftMessageBytes = 16'777'216;

// Encodes a message as one CBOR array: [version, type, term, group, disk, generation, fields...].
std::string encodeRaftMessage(const configuration::RaftMessage&);

// Returns nothing for a message that is malformed, too long, of another protocol version or followed by trailing bytes.
std::optional<configuration::RaftMessage> decodeRaftMessage(std::string_view);

} // namespace ibisgw::adapters
