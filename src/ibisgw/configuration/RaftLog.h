#pragma once

#include "ibisgw/configuration/LogStore.h"

#include <deque>
#include <optional>

namespace ibisgw::configuration {

// In-memory log of one controller, with the latest snapshot. Retains some entries from before the snapshot, so that a
// follower that lags slightly receives entries instead of the snapshot.
class RaftLog {
public:
    void reset(Snapshot, std::vector<LogEntry>);

    LogIndex lastIndex() const { return m_firstIndex + m_entries.size() - 1; }
    Term lastTerm() const { return termAt(lastIndex()).value_or(0); }
    // First index whose entry is in memory.
    LogIndex firstIndex() const { return m_firstIndex; }
    const Snapshot& snapshot() const { return m_snapshot; }
    // Empty when the index is not in memory.
    std::optional<Term> termAt(LogIndex) const;
    const LogEntry& at(LogIndex index) const { return m_entries[index - m_firstIndex]; }
    // Membership of the newest entry that holds one, or else of the snapshot. Takes effect when it is appended, before
    // it is committed (dissertation, 4.1).
    const Membership& membership() const { return m_membership; }
    // Index of the entry that holds membership().
    LogIndex membershipIndex() const { return m_membershipIndex; }
    // Membership that membership() replaced; null if there is none in memory. A leader proposes a membership only after
    // the previous one is committed, so this one is.
    const Membership* previousMembership() const;
    // Total size of the commands after the index.
    std::size_t bytesAfter(LogIndex) const;

    void append(LogEntry);
    void truncateFrom(LogIndex);
    // Installs a snapshot and drops the entries that it covers, except for the last `trailing` ones.
    void compact(Snapshot, std::size_t trailing);
    // Copies entries from the index on until they reach `maxBytes`; at least one if there is any.
    std::vector<LogEntry> copyFrom(LogIndex, std::size_t maxBytes) const;

private:
    void findMembership();

    Snapshot m_snapshot;
    LogIndex m_firstIndex { 1 };
    std::deque<LogEntry> m_entries;
    Membership m_membership;
    LogIndex m_membershipIndex { 0 };
};

} // namespace ibisgw::configuration
