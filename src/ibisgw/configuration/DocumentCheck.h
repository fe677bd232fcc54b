#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/CheckReport.h"

#include <set>
#include <string>

namespace ibisgw::configuration {

// What is known besides the checked document.
struct DocumentContext {
    // The document to compare with, such as the one in force; null for no comparison.
    const Document* base { nullptr };
    // Addresses of all known upstreams; empty if they are not known.
    std::set<core::Endpoint> upstreams;
    // True if the document holds the services of one organization only. Services of other organizations may then use a
    // zone that none of the document uses, and only services are compared.
    bool isPartial { false };
};

// Reports the parts of a valid document that have no effect or contradict each other, and its differences from the
// base.
core::CheckReport checkDocument(const Document&, const DocumentContext& = {});

// The same for the text of a document. Text that daemons reject yields errors only. Never throws, whatever the text is.
core::CheckReport checkDocumentText(const std::string&, const DocumentContext& = {});

} // namespace ibisgw::configuration
