#include "ibisgw/configuration/SubmissionOutcome.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::configuration {

namespace {

constexpr core::NameTable<OutcomeKind, 5> outcomeNames { {
    { OutcomeKind::Accepted, "accepted" },
    { OutcomeKind::Conflict, "conflict" },
    { OutcomeKind::Unknown, "unknown" },
    { OutcomeKind::NotLeader, "not_leader" },
    { OutcomeKind::Invalid, "invalid" },
} };

} // namespace

std::string_view nameOf(OutcomeKind kind)
{
    return outcomeNames.nameOf(kind);
}

} // namespace ibisgw::configuration
