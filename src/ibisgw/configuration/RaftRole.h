#pragma once

#include <cstdint>
#include <string_view>

namespace ibisgw::configuration {

enum class RaftRole : std::uint8_t {
    // Asks the other controllers whether its disk is complete, or whether a group exists.
    CheckingDisk,
    // Receives the log without a vote.
    Learner,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    // The store has failed; takes part in nothing until it is restarted.
    Halted,
};

std::string_view nameOf(RaftRole);

} // namespace ibisgw::configuration
