#pragma once

#include "ibisgw/sync/SyncMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace ibisgw::adapters {

// Writes a message as one CBOR array: [version, type, fields...].
std::string encodeSyncMessage(const sync::SyncMessage&);

// Empty for a message that is malformed, of another version or with trailing bytes.
std::optional<sync::SyncMessage> decodeSyncMessage(std::string_view);

} // namespace ibisgw::adapters
