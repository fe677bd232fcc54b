#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <string>

namespace ibisgw::configuration {

// The change from one accepted revision to a later one.
struct RevisionDelta {
    core::Revision baseRevision { 0 };
    std::uint64_t baseHash { 0 };
    core::Revision revision { 0 };
    std::uint64_t hash { 0 };
    // RFC 6902 patch as JSON text.
    std::string patch;
    std::string author;
    std::string submission;

    bool operator==(const RevisionDelta&) const = default;
};

} // namespace ibisgw::configuration
