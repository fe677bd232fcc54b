#pragma once

#include "ibisgw/core/Error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace ibisgw::adapters {

// Verifies the data folder of a controller that is not running and returns a summary: identity of the
// disk, term, indexes, members, sizes, and the bytes of an interrupted write, which the next start
// truncates. Fails with DataCorrupted and the remedy if the folder is damaged. Changes no file.
core::Result<nlohmann::json> verifyDataFolder(const std::string& folder);

// Returns the summary of verifyDataFolder() with the state of the snapshot and all log entries added.
core::Result<nlohmann::json> dumpDataFolder(const std::string& folder);

} // namespace ibisgw::adapters
