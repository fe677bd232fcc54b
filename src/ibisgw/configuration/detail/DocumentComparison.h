#pragma once

#include "ibisgw/configuration/Document.h"
#include "ibisgw/core/CheckReport.h"

namespace ibisgw::configuration::detail {

enum class ComparedPart : std::uint8_t {
    Everything,
    // For documents of one organization, which may leave out what the organization can't change.
    Services,
};

// Adds the differences of `document` from `base` to the report. Services, zones and organizations are matched by their
// names, kinds by their numbers, because packets carry the number.
void compareDocuments(const Document& base, const Document& document, ComparedPart, core::CheckReport&);

} // namespace ibisgw::configuration::detail
