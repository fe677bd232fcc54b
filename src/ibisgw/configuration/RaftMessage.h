#pragma once

#include "ibisgw/configuration/Snapshot.h"

#include <variant>
#include <vector>

namespace ibisgw::configuration {

// Request for a vote, or for the promise of one. A pre-vote asks whether the receiver would vote
// in the term after the sender's and changes no state (Ongaro, dissertation, 9.6).
struct VoteRequest {
    bool preVote { false };
    LogIndex lastIndex { 0 };
    Term lastTerm { 0 };

    bool operator==(const VoteRequest&) const = default;
};

struct VoteReply {
    bool preVote { false };
    bool granted { false };

    bool operator==(const VoteReply&) const = default;
};

// Entries after `previousIndex`; without entries it is a heartbeat.
struct AppendRequest {
    LogIndex previousIndex { 0 };
    Term previousTerm { 0 };
    LogIndex commitIndex { 0 };
    // Number of the newest read that waits for a confirmation of leadership (dissertation, 6.4).
    std::uint64_t readSequence { 0 };
    std::vector<LogEntry> entries;

    bool operator==(const AppendRequest&) const = default;
};

struct AppendReply {
    bool success { false };
    // On success, the last entry that is durable and equal to the leader's.
    // On failure, the last index from which the sender may be able to continue.
    LogIndex matchIndex { 0 };
    std::uint64_t readSequence { 0 };

    bool operator==(const AppendReply&) const = default;
};

struct SnapshotRequest {
    Snapshot snapshot;

    bool operator==(const SnapshotRequest&) const = default;
};

// Asks a peer whether it remembers later state of the sender's disk.
struct DiskCheckRequest {
    std::uint64_t startNonce { 0 };
    LogIndex lastIndex { 0 };

    bool operator==(const DiskCheckRequest&) const = default;
};

struct DiskCheckReply {
    // Copies of the request's fields, so that replies to an earlier start are not counted.
    DiskIdentity disk { 0 };
    std::uint64_t startNonce { 0 };
    // The peer has seen later state of this disk.
    bool outdated { false };
    // The peer has a vote, by its own log.
    bool voter { false };
    // Newest membership of the peer: its index and the size of a majority.
    LogIndex membershipIndex { 0 };
    std::uint64_t majority { 0 };
    // Nodes of that membership, so that a controller that knows only some of them finds the leader.
    std::vector<core::NodeId> members;

    bool operator==(const DiskCheckReply&) const = default;
};

struct RaftMessage {
    Term term { 0 };
    // Group of the sender; 0 while it belongs to none.
    std::uint64_t group { 0 };
    DiskIdentity disk { 0 };
    std::uint64_t generation { 0 };
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, DiskCheckRequest, DiskCheckReply>
        body;

    bool operator==(const RaftMessage&) const = default;
};

} // namespace ibisgw::configuration
