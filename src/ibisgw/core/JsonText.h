#pragma once

#include "ibisgw/core/Problem.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace ibisgw::core {

// Copying and printing a JSON value is recursive; the bound keeps hostile input off the stack's end.
constexpr int maxJsonDepth = 32;

// Parses JSON text. Malformed text, deep nesting and repeated member names are reported as problems:
// JSON allows a repeated name, but one of the two values would be dropped without notice.
std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<Problem>& problems);

} // namespace ibisgw::core
