#pragma once

#include "ibisgw/configuration/Document.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace ibisgw::configuration {

// Inverse of readDocument; writes every field, also those that have their default value, so that an
// accepted document keeps its meaning when a later release changes a default.
nlohmann::json writeDocument(const Document&);

// Compact JSON with sorted keys: equal documents have equal text and thus equal hashes.
std::string canonicalText(const Document&);

} // namespace ibisgw::configuration
