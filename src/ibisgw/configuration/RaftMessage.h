#pragma once

#include "ibisgw/configuration/Snapshot.h"

#include <variant>
#include <vector>

namespace ibisgw::configuration {

// RequestVote RPC, or a pre-vote request: whether the receiver would grant its vote in the term after the sender's.
// A pre-vote changes no persistent state (Ongaro, dissertation, 9.6).
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

// AppendEntries RPC with the entries after `previousIndex`; a heartbeat when there are no entries.
struct AppendRequest {
    LogIndex previousIndex { 0 };
    Term previousTerm { 0 };
    LogIndex commitIndex { 0 };
    // Sequence number of the newest read that waits for confirmation of the leadership (dissertation, 6.4).
    std::uint64_t readSequence { 0 };
    std::vector<LogEntry> entries;

    bool operator==(const AppendRequest&) const = default;
};

struct AppendReply {
    bool success { false };
    // On success, the index of the last entry that is durable and identical to the leader's.
    // On failure, a hint: the index up to which the logs may match, from which the leader retries.
    LogIndex matchIndex { 0 };
    // Copy of the request's field.
    std::uint64_t readSequence { 0 };

    bool operator==(const AppendReply&) const = default;
};

// InstallSnapshot RPC; holds the whole snapshot.
struct SnapshotRequest {
    Snapshot snapshot;

    bool operator==(const SnapshotRequest&) const = default;
};

// Sent after a start, and while the sender may no longer be a member. Requests whether the receiver has recorded a
// later state of the sender's disk, which shows that the disk was replaced by an older copy. A leader that receives the
// request may also add the sender to the group.
struct DiskCheckRequest {
    std::uint64_t startNonce { 0 };
    LogIndex lastIndex { 0 };
    core::ZoneName zone {};
    // The sender takes part in the first start of the deployment.
    bool isFirstStart { false };

    bool operator==(const DiskCheckRequest&) const = default;
};

struct DiskCheckReply {
    // Copies of the request's fields; the requester ignores replies to an earlier start.
    DiskIdentity disk { 0 };
    std::uint64_t startNonce { 0 };
    // True if the replying controller has recorded a later state of the requester's disk.
    bool outdated { false };
    // Newest membership in the log of the replying controller, and the index of its entry.
    LogIndex membershipIndex { 0 };
    Membership membership;

    bool operator==(const DiskCheckReply&) const = default;
};

// Sent with a pre-vote request: asks for the identity of the receiver's disk, which the reply carries as every message
// does. Also answered by a controller that belongs to no group yet because its disk is empty.
struct DiskIdentityRequest {
    std::uint64_t nonce { 0 };

    bool operator==(const DiskIdentityRequest&) const = default;
};

struct DiskIdentityReply {
    // Copy of the request's field. It shows that the reply is not a delayed one from an earlier disk of the sender.
    std::uint64_t nonce { 0 };

    bool operator==(const DiskIdentityReply&) const = default;
};

// Sent to the leader, and repeated, by a controller that is about to stop for good or for a restart.
struct LeaveRequest {
    bool operator==(const LeaveRequest&) const = default;
};

enum class LeaveOutcome : std::uint8_t {
    Removed, // the sender of the request is no member any more
    Retained, // the sender remains a member, because too few others would remain
};

struct LeaveReply {
    LeaveOutcome outcome { LeaveOutcome::Removed };

    bool operator==(const LeaveReply&) const = default;
};

// Sent by the leader to controllers that were removed without having announced it. The group of the receiver may have
// changed completely while it was partitioned, so that all addresses that it knows are gone.
struct RejoinNotice {
    bool operator==(const RejoinNotice&) const = default;
};

// Message between two controllers. Its fields describe the sender.
struct RaftMessage {
    Term term { 0 };
    // Group of the sender; 0 while it belongs to none.
    std::uint64_t group { 0 };
    DiskIdentity disk { 0 };
    std::uint64_t generation { 0 };
    std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotRequest, DiskCheckRequest, DiskCheckReply,
        LeaveRequest, LeaveReply, DiskIdentityRequest, DiskIdentityReply, RejoinNotice>
        body;

    bool operator==(const RaftMessage&) const = default;
};

} // namespace ibisgw::configuration
