#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <vector>

namespace ibisgw::configuration {

// Safety rules that a test switches off to show that its checks detect the loss.
// Never set outside tests.
struct DisabledRules {
    bool voteSync { false };
    bool entrySync { false };
    bool learnerRestriction { false };
    bool ownTermCommit { false };
    bool diskIdentity { false };
    bool diskAge { false };
    bool logComparison { false };
    bool submissionIdentity { false };
    bool readConfirmation { false };
};

enum class MembershipMode : std::uint8_t {
    Listed, // the settings list all controllers
    Open, // controllers come, go and are replaced while the group runs
};

struct RaftOptions {
    core::NodeId self;
    // All controllers from the settings, this one included. With an open membership these are only the first
    // contacts: the group takes up every controller that asks and drops those that stay silent.
    std::vector<core::NodeId> controllers;
    MembershipMode membershipMode { MembershipMode::Listed };
    // Whether this controller may found a group together with the listed ones. False once the deployment has run:
    // an empty disk then is a lost disk, and a second group would forget what the first one accepted.
    bool mayFoundGroup { true };
    // Disks that may be lost at the same moment without losing what was accepted. An entry is accepted only by
    // a majority of more than this many voters. Open membership only.
    std::size_t toleratedDiskLosses { 1 };
    // A voter that is silent for this long is removed if enough others remain. Open membership only.
    core::Duration removalTimeout { std::chrono::milliseconds(3000) };
    // More voters make each change slower and add no tolerance; further controllers stay learners.
    std::size_t maxVoters { 7 };
    core::Duration diskCheckInterval { std::chrono::milliseconds(300) };
    // Six followers at 2.5 heartbeats a second stay under half of the 4,096 bytes/s for control.
    core::Duration heartbeatInterval { std::chrono::milliseconds(400) };
    // An election starts after this time without a leader plus a random part of the same
    // length. Two heartbeats may be lost; the leader is replaced within 3 s.
    core::Duration electionTimeout { std::chrono::milliseconds(900) };
    // Time to wait for the answers of all peers about the age of the own disk; afterwards a
    // majority suffices.
    core::Duration diskCheckWait { std::chrono::milliseconds(1000) };
    // Entries and bytes of commands after which a snapshot replaces the log.
    std::size_t snapshotEntries { 256 };
    std::size_t snapshotBytes { 524'288 };
    // Entries before the snapshot that stay in memory for followers that lag.
    std::size_t trailingEntries { 64 };
    std::size_t maxAppendBytes { 65'536 };
    // How often the commit index is saved after it has grown; 0 for never. A controller that starts then knows at
    // once what was accepted, without waiting for a leader.
    core::Duration commitSaveInterval { 0 };
    DisabledRules disabledRules;
};

} // namespace ibisgw::configuration
