#pragma once

#include "ibisgw/core/Error.h"

#include <string>
#include <string_view>
#include <sys/stat.h>

namespace ibisgw::adapters::detail {

inline constexpr mode_t privateFileMode = S_IRUSR | S_IWUSR;

// Returns the error for a failed operation on a file. The number is the value of errno.
boost::leaf::error_id ioFailure(const std::string& file, const std::string& operation, int number);

core::Result<void> writeAll(int descriptor, const std::string& file, std::string_view bytes);

// Makes the creation, renaming and removal of files in the folder durable.
core::Result<void> syncFolder(const std::string& folder);

// Replaces a file of the folder atomically: after a power loss it has either the old or the new content. The
// new content is durable on return.
core::Result<void> replaceFile(const std::string& folder, const std::string& name, const std::string& bytes);

} // namespace ibisgw::adapters::detail
