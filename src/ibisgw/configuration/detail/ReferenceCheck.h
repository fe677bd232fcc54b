#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Problem.h"

#include <vector>

namespace ibisgw::configuration::detail {

// Checks the document as a whole and adds a problem for each duplicate name or kind number, each address that two
// services use, and each reference to an organization or zone that does not exist. Skips empty values: these stand
// for values that the reader could not read and has already reported.
void checkReferences(const Document&, std::vector<core::Problem>&);

} // namespace ibisgw::configuration::detail
