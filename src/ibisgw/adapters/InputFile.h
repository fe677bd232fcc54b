#pragma once

#include "ibisgw/core/Error.h"

#include <string>

namespace ibisgw::adapters {

// Reads a file that an operator names: settings, documents, logs. Only regular files are read, so that a folder or a
// pipe ends in an error instead of an exception or a wait. Errors name the file and the remedy.
core::Result<std::string> readInputFile(
    const std::string& file, const std::string& description, std::size_t maxBytes = std::size_t { 16 } << 20);

// Like readInputFile(), for files with secrets, which only their owner may access.
core::Result<std::string> readPrivateFile(const std::string& file, const std::string& description);

} // namespace ibisgw::adapters
