#pragma once

#include "ibisgw/adapters/MessageAuthenticator.h"
#include "ibisgw/core/Error.h"

#include <string>

namespace ibisgw::adapters {

// Reads `{"signing_key": 1, "keys": {"1": "<64 hexadecimal digits>", ...}}` with at most two keys.
// Fails if users other than the owner can access the file, because the keys authenticate every daemon.
core::Result<KeyRing> readKeyFile(const std::string& file);

} // namespace ibisgw::adapters
