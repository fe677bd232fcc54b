#pragma once

#include "ibisgw/adapters/Span.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>

namespace ibisgw::adapters::detail {

// The JSON object of a span in a trace file.
nlohmann::json toJson(const Span&);
// Returns nothing when a field is missing or malformed.
std::optional<Span> spanFromJson(const nlohmann::json&);

} // namespace ibisgw::adapters::detail
