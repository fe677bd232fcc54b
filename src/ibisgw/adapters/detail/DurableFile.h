#pragma once

#include "ibisgw/core/Error.h"

#include <string>
#include <string_view>
#include <sys/stat.h>

namespace ibisgw::adapters::detail {

inline constexpr mode_t privateFileMode = S_IRUSR | S_IWUSR;

// The error of a failed operation on a file, by its errno.
boost::leaf::error_id ioFailure(const std::string& file, const std::string& operation, int number);

core::Result<void> writeAll(int descriptor, const std::string& file, std::string_view bytes);

// Makes created, renamed and removed names of the folder durable.
core::Result<void> syncFolder(const std::string& folder);

// Replaces a file of a folder so that a loss of power leaves the old or the new one; durable on return.
core::Result<void> replaceFile(const std::string& folder, const std::string& name, const std::string& bytes);

} // namespace ibisgw::adapters::detail
