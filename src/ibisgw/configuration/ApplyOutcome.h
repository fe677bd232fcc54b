#pragma once

#include <cstdint>
#include <string_view>

namespace ibisgw::configuration {

// What became of a revision or delta that was offered to a RevisionApplier.
enum class ApplyOutcome : std::uint8_t {
    Applied,
    AlreadyInForce,
    LowerRevision,
    WrongBase, // the delta starts from another revision; the missing ones are fetched first
    WrongHash, // the document is not the one that was accepted
    Malformed,
};

std::string_view nameOf(ApplyOutcome);

} // namespace ibisgw::configuration
