#pragma once

#include "ibisgw/core/Ids.h"

#include <string>

namespace ibisgw::configuration {

// An operator's change.
struct Submission {
    // Chosen by the operator's tool; a resubmission carries the same one and gets the same answer.
    std::string id;
    std::string author;
    // Revision from which the change was made.
    core::Revision base { 0 };
    // Whole document as JSON.
    std::string document;
};

} // namespace ibisgw::configuration
