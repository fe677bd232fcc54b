#include "ibisgw/configuration/RaftLog.h"

#include <iterator>

namespace ibisgw::configuration {

void RaftLog::reset(Snapshot snapshot, std::vector<LogEntry> entries)
{
    m_snapshot = std::move(snapshot);
    m_firstIndex = m_snapshot.index + 1;
    m_entries.assign(std::make_move_iterator(entries.begin()), std::make_move_iterator(entries.end()));
    findMembership();
}

std::optional<Term> RaftLog::termAt(LogIndex index) const
{
    if (index == 0)
        return 0;
    if (index >= m_firstIndex && index <= lastIndex())
        return at(index).term;
    if (index == m_snapshot.index)
        return m_snapshot.term;
    return std::nullopt;
}

std::size_t RaftLog::bytesAfter(LogIndex index) const
{
    std::size_t bytes = 0;
    for (LogIndex it = std::max(index + 1, m_firstIndex); it <= lastIndex(); ++it)
        bytes += at(it).command.size();
    return bytes;
}

const Membership* RaftLog::previousMembership() const
{
    if (m_membershipIndex <= m_snapshot.index)
        return nullptr;
    for (LogIndex index = m_membershipIndex - 1; index > m_snapshot.index; --index) {
        if (at(index).kind == EntryKind::Membership)
            return &at(index).membership;
    }
    return m_snapshot.membership.group != 0 ? &m_snapshot.membership : nullptr;
}

void RaftLog::append(LogEntry entry)
{
    m_entries.push_back(std::move(entry));
    if (m_entries.back().kind == EntryKind::Membership) {
        m_membership = m_entries.back().membership;
        m_membershipIndex = lastIndex();
    }
}

void RaftLog::truncateFrom(LogIndex index)
{
    while (!m_entries.empty() && lastIndex() >= index)
        m_entries.pop_back();
    if (m_membershipIndex >= index)
        findMembership();
}

void RaftLog::compact(Snapshot snapshot, std::size_t trailing)
{
    // The log conflicts with the snapshot or ends before it, so no entry can be retained.
    if (termAt(snapshot.index) != snapshot.term) {
        reset(std::move(snapshot), {});
        return;
    }
    m_snapshot = std::move(snapshot);
    while (m_firstIndex + trailing <= m_snapshot.index) {
        m_entries.pop_front();
        ++m_firstIndex;
    }
}

std::vector<LogEntry> RaftLog::copyFrom(LogIndex first, std::size_t maxBytes) const
{
    std::vector<LogEntry> result;
    std::size_t bytes = 0;
    for (LogIndex index = first; index <= lastIndex() && bytes < maxBytes; ++index) {
        result.push_back(at(index));
        bytes += result.back().command.size() + sizeof(LogEntry);
    }
    return result;
}

void RaftLog::findMembership()
{
    m_membership = m_snapshot.membership;
    m_membershipIndex = m_snapshot.index;
    for (LogIndex index = lastIndex(); index > m_snapshot.index; --index) {
        if (at(index).kind == EntryKind::Membership) {
            m_membership = at(index).membership;
            m_membershipIndex = index;
            return;
        }
    }
}

} // namespace ibisgw::configuration
