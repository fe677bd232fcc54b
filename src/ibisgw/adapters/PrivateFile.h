#pragma once

#include "ibisgw/core/Error.h"

#include <string>

namespace ibisgw::adapters {

// Reads a file with secrets. Refuses one that other users can access; the message starts with the
// given description, such as "key file".
core::Result<std::string> readPrivateFile(const std::string& file, const std::string& description);

} // namespace ibisgw::adapters
