#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Problem.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <vector>

namespace ibisgw::configuration {

// Result of readDocument(): either a valid document, or all problems found; never a partial document.
struct DocumentReadResult {
    std::optional<Document> document;
    std::vector<core::Problem> problems;
};

DocumentReadResult readDocument(const nlohmann::json&);

} // namespace ibisgw::configuration
