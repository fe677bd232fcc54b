#pragma once

#include "ibisgw/configuration/Document.h"

#include <nlohmann/json_fwd.hpp>

#include <string>

namespace ibisgw::configuration {

// Inverse of readDocument(). Writes every field, including those with their default value, so that an accepted
// document keeps its meaning when a later release changes a default. Only an empty list of evacuated zones is left out.
nlohmann::json writeDocument(const Document&);

// Compact JSON with sorted keys, so that equal documents have equal texts and hashes.
std::string canonicalText(const Document&);

} // namespace ibisgw::configuration
