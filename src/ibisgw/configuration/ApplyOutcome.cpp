#include "ibisgw/configuration/ApplyOutcome.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::configuration {

namespace {

constexpr core::NameTable<ApplyOutcome, 6> applyOutcomeNames { {
    { ApplyOutcome::Applied, "applied" },
    { ApplyOutcome::AlreadyInForce, "already_in_force" },
    { ApplyOutcome::LowerRevision, "lower_revision" },
    { ApplyOutcome::WrongBase, "wrong_base" },
    { ApplyOutcome::WrongHash, "wrong_hash" },
    { ApplyOutcome::Malformed, "malformed" },
} };

} // namespace

std::string_view nameOf(ApplyOutcome outcome)
{
    return applyOutcomeNames.nameOf(outcome);
}

} // namespace ibisgw::configuration
