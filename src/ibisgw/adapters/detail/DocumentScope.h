#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Problem.h"

#include <string>
#include <vector>

namespace ibisgw::adapters::detail {

// Returns the part of a document that an organization may see: its own entry, its services and all zones.
configuration::Document restrictDocument(const configuration::Document&, const std::string& organization);

struct ScopedChange {
    // The base with the organization's services replaced by the submitted ones.
    configuration::Document document;
    // Changes that the organization may not make, with paths in the submitted document.
    std::vector<core::Problem> forbiddenChanges;
    // Problems of the combined document, such as an address that another organization's service uses.
    std::vector<core::Problem> problems;
};

// Applies a document that an organization has submitted to the base document. The submitted document may
// omit everything that the organization may not change, because restrictDocument() hides most of it.
ScopedChange applyScopedChange(
    const configuration::Document& base, const configuration::Document& submitted, const std::string& organization);

} // namespace ibisgw::adapters::detail
