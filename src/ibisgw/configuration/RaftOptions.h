#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <vector>

namespace ibisgw::configuration {

// Safety rules that tests disable to verify that the checkers detect each violation. Never set outside tests.
struct DisabledRules {
    bool voteSync { false }; // sync a vote before it is sent
    bool entrySync { false }; // sync entries before they are acknowledged
    bool learnerRestriction { false }; // count only voters in elections and commits
    bool ownTermCommit { false }; // count replicas only for entries of the leader's own term
    bool diskIdentity { false }; // treat a member with a new disk as a new member
    bool diskAge { false }; // confirm with the peers that the disk is not an older copy
    bool logComparison { false }; // grant a vote only to a candidate whose log is up to date
    bool submissionIdentity { false }; // apply a submission identifier only once
    bool readConfirmation { false }; // confirm the leadership before a read is served
};

enum class MembershipMode : std::uint8_t {
    Listed, // the settings list all controllers
    Open, // controllers join, leave and are replaced while the group runs
};

// Configuration of a RaftNode.
struct RaftOptions {
    core::NodeId self;
    // Zone of this controller; empty if it is not known.
    core::ZoneName zone {};
    // All controllers from the settings, including this one. With an open membership these are only the seeds: the
    // leader admits every controller that sends a DiskCheckRequest and removes unresponsive ones.
    std::vector<core::NodeId> controllers;
    MembershipMode membershipMode { MembershipMode::Listed };
    // True if this controller may bootstrap a group with the listed controllers. Must be false once the deployment
    // has run: an empty disk then means that a disk was lost, and a second group would lack the revisions that the
    // first one accepted.
    bool mayBootstrapGroup { true };
    // Number of disks that may be lost simultaneously without losing an accepted entry. The leader accepts commands
    // only while a majority is more than this many voters. Open membership only.
    std::size_t toleratedDiskLosses { 1 };
    // A voter without contact to the leader for this long is removed if enough others remain. Open membership only.
    core::Duration removalTimeout { std::chrono::milliseconds(3000) };
    // Interval at which the leader contacts controllers that were removed because they were silent.
    core::Duration rejoinNoticeInterval { std::chrono::milliseconds(1000) };
    // Limit of the number of voters; further controllers stay learners. More voters would make each change slower
    // and add no tolerance.
    std::size_t maxVoters { 7 };
    core::Duration diskCheckInterval { std::chrono::milliseconds(300) };
    // With six followers and 2.5 heartbeats a second, heartbeats use less than half of the limit of 4,096 bytes/s for
    // control messages.
    core::Duration heartbeatInterval { std::chrono::milliseconds(400) };
    // A follower without contact to a leader starts an election after this time plus a random part of the same
    // length. This allows for the loss of two heartbeats and replaces a failed leader within 3 s.
    core::Duration electionTimeout { std::chrono::milliseconds(900) };
    // Time after a start for which the controller waits until all voters have confirmed the state of its disk;
    // afterwards a majority suffices.
    core::Duration diskCheckWait { std::chrono::milliseconds(1000) };
    // A snapshot is taken once this many entries or bytes of commands follow the previous one.
    std::size_t snapshotEntries { 256 };
    std::size_t snapshotBytes { 524'288 };
    // Number of entries covered by the snapshot that stay in memory for lagging followers.
    std::size_t trailingEntries { 64 };
    std::size_t maxAppendBytes { 65'536 };
    // Minimum interval between two writes of the commit index to the store; 0 disables them. With a saved commit index
    // a restarted controller applies the committed entries at once, without waiting for a leader. The commit of a
    // membership is always written at once if the membership is open.
    core::Duration commitSaveInterval { 0 };
    DisabledRules disabledRules;
};

} // namespace ibisgw::configuration
