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
    // Not decided yet, or this controller has no record of the identifier; query the identifier again.
    Unknown,
    // This controller accepts no submissions; submit to `leader` if it is known.
    NotLeader,
    // The identifier is empty, or the document is not JSON, nested too deeply or too large.
    Invalid,
};

std::string_view nameOf(OutcomeKind);

struct SubmissionOutcome {
    OutcomeKind kind { OutcomeKind::Unknown };
    // Accepted: the new revision. Conflict: the revision that replaced the base.
    core::Revision revision { 0 };
    // Conflict: the author of that revision.
    std::string author;
    // Unknown and NotLeader: the present leader; invalid when no leader is known.
    core::NodeId leader;
    // What went wrong and what the operator can do; empty for a final outcome.
    std::string message;

    bool isFinal() const { return kind == OutcomeKind::Accepted || kind == OutcomeKind::Conflict; }
};

} // namespace ibisgw::configuration
