#pragma once

#include "ibisgw/configuration/Snapshot.h"
#include "ibisgw/core/Error.h"

#include <span>
#include <vector>

namespace ibisgw::configuration {

// Persistent election state: currentTerm and votedFor (Ongaro and Ousterhout 2014, figure 2).
struct VoteState {
    Term term { 0 };
    // Leader of this term once it is known; before, the candidate that received the vote of this controller in this
    // term; invalid when there is none.
    core::NodeId votedFor;

    bool operator==(const VoteState&) const = default;
};

// Contents of a store when a controller starts.
struct StoredState {
    DiskIdentity disk { 0 };
    // Number of starts with this disk, and a random number drawn at this start. Peers compare both to detect a disk
    // that was replaced by an older copy.
    std::uint64_t generation { 0 };
    std::uint64_t startNonce { 0 };
    VoteState vote;
    Snapshot snapshot;
    // Commit index as saved last; may lag behind the actual one. Entries up to this index are never replaced.
    LogIndex commitIndex { 0 };
    // Entries from the index after the snapshot, without a gap.
    std::vector<LogEntry> entries;
};

// Durable Raft state of one controller. Unless a function says otherwise, a write is durable only after sync() has
// succeeded. After any function has failed, the store rejects writes until load() succeeds, because the kernel may
// have dropped dirty pages that failed to reach the disk (Rebello et al., "Can Applications Recover from fsync
// Failures?", ATC 2020).
class LogStore {
public:
    virtual ~LogStore();

    virtual core::Result<void> appendEntries(LogIndex first, std::span<const LogEntry>) = 0;
    virtual core::Result<void> truncateFrom(LogIndex) = 0;
    virtual core::Result<void> saveVote(const VoteState&) = 0;
    virtual core::Result<void> saveCommit(LogIndex) = 0;
    // Durable on return. Drops the entries up to the index of the snapshot.
    virtual core::Result<void> saveSnapshot(const Snapshot&) = 0;
    virtual core::Result<void> sync() = 0;
    // Reads the whole state and durably increments the generation. An empty store gets a new disk identity.
    virtual core::Result<StoredState> load() = 0;
    // Erases the whole state; the next load() creates a new disk identity.
    virtual core::Result<void> discard() = 0;
};

} // namespace ibisgw::configuration
