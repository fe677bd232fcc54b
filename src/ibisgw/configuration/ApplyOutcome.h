#pragma once

#include <cstdint>
#include <string_view>

namespace ibisgw::configuration {

// Result of passing a revision or a delta to a RevisionApplier.
enum class ApplyOutcome : std::uint8_t {
    Applied,
    AlreadyInForce,
    LowerRevision, // older than the revision in force
    WrongBase, // the base of the delta is not in force; the daemon must fetch the missing revisions first
    WrongHash, // the resulting document differs from the accepted one
    Malformed, // the patch is malformed or does not fit the base
};

std::string_view nameOf(ApplyOutcome);

} // namespace ibisgw::configuration
