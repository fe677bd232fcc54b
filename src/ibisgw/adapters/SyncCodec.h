#pragma once

#include "ibisgw/sync/SyncMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace ibisgw::adapters {

// Encodes a message as one CBOR array: [version, type, fields...].
std::string encodeSyncMessage(const sync::SyncMessage&);

// Returns nothing for a message that is malformed, of another protocol version or followed by trailing bytes.
std::optional<sync::SyncMessage> decodeSyncMessage(std::string_view);

} // namespace ibisgw::adapters
