#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

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

struct RaftOptions {
    core::NodeId self;
    // All controllers from the settings, this one included.
    std::vector<core::NodeId> controllers;
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
    DisabledRules disabledRules;
};

} // namespace ibisgw::configuration
