#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <string>

namespace ibisgw::configuration {

// One accepted configuration: the controllers commit it through Raft, and the daemons apply it.
struct AcceptedRevision {
    core::Revision revision { 0 };
    // The operators' document as compact JSON with sorted keys.
    std::string document;
    // XXH3-64 of the document text. Detects a delta that was applied to the wrong base.
    std::uint64_t hash { 0 };
    // Operator who submitted the document.
    std::string author;
    // Identifier of the submission; makes a resubmission idempotent.
    std::string submission;

    bool operator==(const AcceptedRevision&) const = default;
};

// XXH3-64 of the text of a document.
std::uint64_t hashDocument(const std::string& document);

} // namespace ibisgw::configuration
