#pragma once

#include "ibisgw/core/Problem.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ibisgw::core {

// Copying and serializing a JSON value is recursive; the limit prevents malicious input from exhausting the stack.
constexpr int maxJsonDepth = 32;

// Parses JSON text. Adds a problem and returns empty if the text is malformed, nested more than maxJsonDepth levels
// deep, or repeats a member name in an object: JSON allows a repeated name, but one of the two values would be dropped
// silently.
std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<Problem>& problems);

// Serializes a JSON value, on one line or with an indentation of `indent` spaces. Never throws: bytes of texts that are
// not UTF-8 are replaced by U+FFFD, whereas nlohmann::json::dump() would throw. Must be used for each value that may
// hold text from outside.
std::string formatJson(const nlohmann::json&, int indent = -1);

// Makes text from outside safe to print on an operator's terminal: control characters, which could start escape
// sequences, are replaced by '?', and bytes that are not UTF-8 by U+FFFD.
std::string printableText(const std::string&);

} // namespace ibisgw::core
