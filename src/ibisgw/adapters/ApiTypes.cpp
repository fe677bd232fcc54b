#include "ibisgw/adapters/ApiTypes.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::adapters {

namespace {

constexpr core::NameTable<SubmissionOutcome, 4> outcomeNames { {
    { SubmissionOutcome::Accepted, "accepted" },
    { SubmissionOutcome::Rejected, "rejected" },
    { SubmissionOutcome::Conflict, "conflict" },
    { SubmissionOutcome::Unknown, "unknown" },
} };

} // namespace

std::string_view nameOf(SubmissionOutcome outcome)
{
    return outcomeNames.nameOf(outcome);
}

std::optional<SubmissionOutcome> submissionOutcomeFromName(std::string_view name)
{
    return outcomeNames.valueOf(name);
}

} // namespace ibisgw::adapters
