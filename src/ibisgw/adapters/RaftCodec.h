#pragma once

#include "ibisgw/configuration/RaftMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace ibisgw::adapters {

// Largest encoded message; a snapshot holds documents of up to 1 MiB.
inline constexpr std::size_t maxRaftMessageBytes = 16'777'216;

// Writes a message as one CBOR array: [version, type, term, group, disk, generation, fields...].
std::string encodeRaftMessage(const configuration::RaftMessage&);

// Empty for a message that is malformed, too long, of another version or with trailing bytes.
std::optional<configuration::RaftMessage> decodeRaftMessage(std::string_view);

} // namespace ibisgw::adapters
