#pragma once

#include "ibisgw/configuration/Snapshot.h"
#include "ibisgw/core/Error.h"

#include <span>
#include <vector>

namespace ibisgw::configuration {

// Persistent state of an election (Ongaro and Ousterhout 2014, figure 2).
struct VoteState {
    Term term { 0 };
    // Candidate that got the vote in this term; invalid when there is none.
    core::NodeId votedFor;

    bool operator==(const VoteState&) const = default;
};

// What a store holds when a controller starts.
struct StoredState {
    DiskIdentity disk { 0 };
    // Number of starts with this disk, and a random number of this start. Together they reveal
    // a disk that was replaced by an older copy.
    std::uint64_t generation { 0 };
    std::uint64_t startNonce { 0 };
    VoteState vote;
    Snapshot snapshot;
    // Last entry that is known to be committed; may lag. Entries up to it are never replaced.
    LogIndex commitIndex { 0 };
    // Follow the snapshot without a gap.
    std::vector<LogEntry> entries;
};

// Durable state of one controller. Writes are durable only after sync() has succeeded. After a
// failure of any function the store refuses further writes until it is loaded again, because
// pages that failed to reach the disk may be dropped from memory (Rebello et al., "Can
// Applications Recover from fsync Failures?", ATC 2020).
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
    // Reads everything and durably counts the start. An empty store gets a new identity.
    virtual core::Result<StoredState> load() = 0;
    // Erases everything; the next load() gives a new identity.
    virtual core::Result<void> discard() = 0;
};

} // namespace ibisgw::configuration
