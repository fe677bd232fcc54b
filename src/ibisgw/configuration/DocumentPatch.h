#pragma once

#include <optional>
#include <string>

namespace ibisgw::configuration {

// RFC 6902 patch that turns one document (compact JSON) into another. Array elements that precede or follow
// the changed ones stay untouched: nlohmann::json::diff compares arrays by index, so removing the first
// of 480 addresses would rewrite all others. Empty when a text is not JSON.
std::optional<std::string> makePatch(const std::string& base, const std::string& target);

// The same, but empty unless applying the patch gives the target byte for byte and the patch is shorter:
// for stores that keep patches in place of documents.
std::optional<std::string> makeExactPatch(const std::string& base, const std::string& target);

// Empty when the patch is malformed or does not fit the base.
std::optional<std::string> applyPatch(const std::string& base, const std::string& patch);

} // namespace ibisgw::configuration
