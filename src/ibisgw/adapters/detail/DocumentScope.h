#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Problem.h"

#include <string>
#include <vector>

namespace ibisgw::adapters::detail {

// The part of a document that an organization may see: its own entry and services, and all zones.
configuration::Document restrictDocument(const configuration::Document&, const std::string& organization);

struct ScopedChange {
    // The base with the organization's services replaced by the submitted ones.
    configuration::Document document;
    // Changes that the organization may not make; paths are those of the submitted document.
    std::vector<core::Problem> refusals;
    // Faults of the combined document, such as an address of another organization's service.
    std::vector<core::Problem> problems;
};

// Applies a document that an organization submitted to its base. The submitted document may leave out
// what the organization may not change, because it does not see it.
ScopedChange applyScopedChange(
    const configuration::Document& base, const configuration::Document& submitted, const std::string& organization);

} // namespace ibisgw::adapters::detail
