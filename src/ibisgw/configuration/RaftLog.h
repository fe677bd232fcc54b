#pragma once

#include "ibisgw/configuration/LogStore.h"

#include <deque>
#include <optional>

namespace ibisgw::configuration {

// The log of one controller in memory, with the snapshot that precedes it. Keeps some entries
// before the snapshot so that a follower that lags a little needs no snapshot.
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
    // From the newest entry or the snapshot; effective before it is committed (dissertation, 4.1).
    const Membership& membership() const { return m_membership; }
    // Index of the entry that holds membership().
    LogIndex membershipIndex() const { return m_membershipIndex; }
    std::size_t bytesAfter(LogIndex) const;

    void append(LogEntry);
    void truncateFrom(LogIndex);
    // Replaces the entries up to the snapshot's index; keeps up to `trailing` of them in memory.
    void compact(Snapshot, std::size_t trailing);
    // Copies entries from an index up to a size; at least one if there is one.
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
