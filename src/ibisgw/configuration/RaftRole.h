#pragma once

#include <cstdint>
#include <string_view>

namespace ibisgw::configuration {

enum class RaftRole : std::uint8_t {
    // Initial role: neither votes nor acknowledges entries until the other controllers have confirmed that the disk is
    // not outdated, or until the controller has found or bootstrapped a group.
    CheckingDisk,
    // Replicates the log and has no vote.
    Learner,
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    // The store has failed; the node sends and handles no messages until it is restarted.
    Halted,
};

std::string_view nameOf(RaftRole);

} // namespace ibisgw::configuration
