#pragma once

#include "ibisgw/core/Ids.h"

#include <string>

namespace ibisgw::configuration {

// A change of the configuration that an operator submits.
struct Submission {
    // Chosen by the operator's tool. A resubmission has the same identifier and gets the same outcome.
    std::string id;
    std::string author;
    // Revision that the operator edited; the submission is accepted only if this is still the current revision.
    core::Revision base { 0 };
    // Whole new document as JSON.
    std::string document;
};

} // namespace ibisgw::configuration
