#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace ibisgw::configuration {

enum class OutcomeKind : std::uint8_t {
    Accepted,
    // Another change from the same base was accepted first.
    Conflict,
    // Not decided yet, or not known here: ask again with the identifier.
    Unknown,
    // This controller took nothing; submit to `leader` if it is known.
    NotLeader,
    // The document is not JSON.
    Invalid,
};

std::string_view nameOf(OutcomeKind);

struct SubmissionOutcome {
    OutcomeKind kind { OutcomeKind::Unknown };
    // Accepted: the new revision. Conflict: the revision that replaced the base.
    core::Revision revision { 0 };
    // Conflict: the author of that revision.
    std::string author;
    // Invalid when no leader is known.
    core::NodeId leader;
    // What the operator can do.
    std::string message;

    bool isFinal() const { return kind == OutcomeKind::Accepted || kind == OutcomeKind::Conflict; }
};

} // namespace ibisgw::configuration
