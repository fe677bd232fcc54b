#pragma once

#include <optional>
#include <string>

namespace ibisgw::configuration {

// RFC 6902 patch that turns one document (compact JSON) into another. Empty when a text is not JSON. Leaves array
// elements before and after the changed ones alone: nlohmann::json::diff compares arrays by index, so removing the
// first of 480 addresses would rewrite all others.
std::optional<std::string> makePatch(const std::string& base, const std::string& target);

// Like makePatch(), for stores that keep patches instead of documents: empty unless the patch is shorter than the
// target and applying it yields the target byte for byte.
std::optional<std::string> makeExactPatch(const std::string& base, const std::string& target);

// Empty when the patch is malformed or does not fit the base.
std::optional<std::string> applyPatch(const std::string& base, const std::string& patch);

} // namespace ibisgw::configuration
