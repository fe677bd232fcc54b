#pragma once

#include "ibisgw/adapters/Span.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace ibisgw::adapters::detail {

nlohmann::json toJson(const Span&);
// Empty when a field is missing or malformed.
std::optional<Span> spanFromJson(const nlohmann::json&);

} // namespace ibisgw::adapters::detail
