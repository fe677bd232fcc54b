#pragma once

#include "ibisgw/core/Error.h"

#include <functional>
#include <optional>
#include <string>

namespace ibisgw::adapters {

// Reads a file that an operator names, such as settings, a document or a log. Fails if it is not a regular file, so
// that a folder or a pipe causes neither an exception nor a blocking read. Error messages start with the description
// and the name of the file and contain the remedy.
core::Result<std::string> readInputFile(
    const std::string& file, const std::string& description, std::size_t maxBytes = std::size_t { 16 } << 20);

// The same; empty after `onError` was called.
std::optional<std::string> readInputFile(const std::string& file, const std::string& description, std::size_t maxBytes,
    const std::function<void(const core::Error&)>& onError);

// Like readInputFile(), for files with secrets. Fails if users other than the owner can access the file.
core::Result<std::string> readPrivateFile(const std::string& file, const std::string& description);

} // namespace ibisgw::adapters
