#pragma once

#include "ibisgw/core/Error.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace ibisgw::adapters {

// Checks the data folder of a controller that is not running and describes it: identity, term,
// indexes, members, sizes, and bytes of an interrupted write that the next start cuts off.
// Fails with DataCorrupted and the remedy when the folder is damaged. Changes nothing.
core::Result<nlohmann::json> verifyDataFolder(const std::string& folder);

// The description with the snapshot's state and all entries.
core::Result<nlohmann::json> dumpDataFolder(const std::string& folder);

} // namespace ibisgw::adapters
