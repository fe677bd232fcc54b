#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <string>

namespace ibisgw::configuration {

// One accepted configuration: what controllers agree on and daemons put in force.
struct AcceptedRevision {
    core::Revision revision { 0 };
    // The operators' document as compact JSON with sorted keys.
    std::string document;
    // XXH3-64 of the document text; detects a delta that was applied to the wrong base.
    std::uint64_t hash { 0 };
    // Who submitted it, and the identifier that makes a resubmission idempotent.
    std::string author;
    std::string submission;

    bool operator==(const AcceptedRevision&) const = default;
};

std::uint64_t hashDocument(const std::string& document);

} // namespace ibisgw::configuration
