#pragma once

#include "ibisgw/core/Problem.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string_view>
#include <vector>

namespace ibisgw::core {

// Copying and serializing a JSON value is recursive; the limit prevents malicious input from exhausting the stack.
constexpr int maxJsonDepth = 32;

// Parses JSON text. Adds a problem and returns empty if the text is malformed, nested more than maxJsonDepth levels
// deep, or repeats a member name in an object: JSON allows a repeated name, but one of the two values would be dropped
// silently.
std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<Problem>& problems);

} // namespace ibisgw::core
