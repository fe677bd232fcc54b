#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/Problem.h"

#include <vector>

namespace ibisgw::configuration::detail {

// Adds the faults between entries: duplicate names and kind numbers, addresses that two services
// claim, and references to organizations or zones that do not exist. Entries that the reader could
// not read are empty here and are skipped, because the reader has reported them.
void checkReferences(const Document&, std::vector<core::Problem>&);

} // namespace ibisgw::configuration::detail
