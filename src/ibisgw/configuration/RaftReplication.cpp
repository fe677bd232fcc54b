#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>
#include <functional>

namespace ibisgw::configuration {

void RaftNode::sendEntries(core::NodeId to, core::TimePoint now)
{
    // A snapshot is sent again only if it has not been acknowledged for this time.
    constexpr core::Duration snapshotRetryInterval = std::chrono::seconds(2);
    auto& progress = m_progress.at(to);
    const auto previous = progress.nextIndex - 1;
    const auto previousTerm = m_log.termAt(previous);
    if (!previousTerm || progress.nextIndex < m_log.firstIndex()) {
        if (now - progress.snapshotSentAt >= snapshotRetryInterval) {
            progress.snapshotSentAt = now;
            enqueue(to, SnapshotRequest { m_log.snapshot() });
        } else {
            // A heartbeat, so that the follower does not start an election while it receives the snapshot.
            enqueue(to, AppendRequest { m_log.snapshot().index, m_log.snapshot().term, 0, m_readSequence, {} });
        }
        return;
    }
    AppendRequest request { previous, *previousTerm, m_commitIndex, m_readSequence,
        m_log.copyFrom(progress.nextIndex, m_options.maxAppendBytes) };
    progress.nextIndex += request.entries.size();
    enqueue(to, std::move(request));
}

void RaftNode::broadcastEntries(core::TimePoint now, bool isHeartbeat)
{
    if (isHeartbeat)
        m_nextHeartbeat = now + m_options.heartbeatInterval;
    for (auto& [node, progress] : m_progress) {
        if (isHeartbeat) {
            // Without an acknowledgement since the previous heartbeat the sent entries may be lost, so they are sent
            // again.
            if (progress.matchIndexAtHeartbeat == progress.matchIndex)
                progress.nextIndex = std::min(progress.nextIndex, progress.matchIndex + 1);
            progress.matchIndexAtHeartbeat = progress.matchIndex;
        }
        if (isHeartbeat || progress.nextIndex <= m_log.lastIndex())
            sendEntries(node, now);
    }
}

LogIndex RaftNode::durableIndex(const Member& member) const
{
    if (isSelf(member))
        return m_durableIndex;
    const auto* progress = findProgress(member);
    return progress ? progress->matchIndex : 0;
}

LogIndex RaftNode::newestDurableOnQuorum() const
{
    std::set<LogIndex, std::greater<>> indices;
    for (const auto* membership : membershipsInForce()) {
        for (const auto& it : membership->members)
            indices.insert(durableIndex(it));
    }
    const auto isOnQuorum
        = [this](LogIndex index) { return isQuorum([&](const Member& it) { return durableIndex(it) >= index; }); };
    const auto newest = std::ranges::find_if(indices, isOnQuorum);
    return newest == indices.end() ? 0 : *newest;
}

// Commits an entry of the leader's own term once it is durable on a quorum; earlier entries are committed with it.
// Entries of earlier terms are not committed by counting replicas, because an entry that is on a majority can still be
// replaced (ATC 2014, section 5.4.2 and figure 8).
void RaftNode::advanceCommit()
{
    // Once a membership is committed, its quorums alone count for the entries after it.
    for (auto index = newestDurableOnQuorum(); index > m_commitIndex; index = newestDurableOnQuorum()) {
        if (m_log.termAt(index) != m_vote.term && !m_options.disabledRules.ownTermCommit)
            return;
        // Until the followers know that a membership is committed, they may need more voters for an election.
        if (membershipBeingReplaced() && index >= m_log.membershipIndex())
            m_nextHeartbeat = {};
        m_commitIndex = index;
    }
}

// Follows the leader of the term; false if the store failed. The leader replaces a vote for another candidate in the
// stored state, which thereby names the leader of every term of which this controller has entries. No other candidate
// can win in this term any more, so the change grants no second vote.
bool RaftNode::followLeader(core::NodeId leader, Term term, core::TimePoint now)
{
    becomeFollower(term, leader, now);
    m_lastLeaderContact = now;
    return m_role != RaftRole::Halted && saveVote({ term, leader });
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const AppendRequest& request, core::TimePoint now)
{
    if (message.term < m_vote.term) {
        enqueue(from, AppendReply { false, m_commitIndex, 0 });
        return;
    }
    if (!followLeader(from, message.term, now))
        return;
    const auto previousTerm = m_log.termAt(request.previousIndex);
    if (request.previousIndex > m_log.lastIndex()) {
        enqueue(from, AppendReply { false, m_log.lastIndex(), request.readSequence });
        return;
    }
    if (!previousTerm) {
        // The entry is covered by the snapshot and thus committed, so every later leader has the same entry.
        enqueue(from, AppendReply { true, m_commitIndex, request.readSequence });
        return;
    }
    if (*previousTerm != request.previousTerm) {
        enqueue(from, AppendReply { false, std::max(m_commitIndex, request.previousIndex - 1), request.readSequence });
        return;
    }
    if (!storeEntries(request))
        return;
    const auto match = request.previousIndex + request.entries.size();
    m_commitIndex = std::max(m_commitIndex, std::min(request.commitIndex, match));
    // The stored entries may contain a new membership.
    m_role = isSelfVoter() ? RaftRole::Follower : RaftRole::Learner;
    enqueue(from, AppendReply { true, match, request.readSequence });
}

// Truncates the log only from the first conflicting entry, so that a delayed request does not remove entries that were
// acknowledged after it was sent (ATC 2014, section 5.3).
bool RaftNode::storeEntries(const AppendRequest& request)
{
    auto index = request.previousIndex + 1;
    auto entry = request.entries.begin();
    while (entry != request.entries.end() && index <= m_log.lastIndex()
        && (index <= m_log.snapshot().index || m_log.termAt(index) == entry->term)) {
        ++entry;
        ++index;
    }
    if (entry == request.entries.end())
        return true;
    if (index <= m_log.lastIndex()) {
        if (index <= m_commitIndex) {
            halt({ core::ErrorKind::DataCorrupted,
                "the leader's log differs from a committed entry; empty the data folder of the controller with the "
                "older log and restart it" });
            return false;
        }
        if (!tryWrite([&] { return m_store.truncateFrom(index); }))
            return false;
        m_log.truncateFrom(index);
        m_hasUnsyncedEntries = true;
    }
    return appendToLog({ entry, request.entries.end() });
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const AppendReply& reply, core::TimePoint now)
{
    if (message.term > m_vote.term) {
        becomeFollower(message.term, {}, now);
        return;
    }
    const auto it = m_progress.find(from);
    if (m_role != RaftRole::Leader || message.term != m_vote.term || it == m_progress.end())
        return;
    auto& progress = it->second;
    if (progress.disk != message.disk && !m_options.disabledRules.diskIdentity)
        return;
    progress.lastContact = now;
    progress.readSequence = std::max(progress.readSequence, reply.readSequence);
    if (reply.success) {
        progress.matchIndex = std::max(progress.matchIndex, std::min(reply.matchIndex, m_log.lastIndex()));
        progress.nextIndex = std::max(progress.nextIndex, progress.matchIndex + 1);
        if (progress.nextIndex <= m_log.lastIndex())
            sendEntries(from, now);
        return;
    }
    const auto next = std::max(progress.matchIndex, std::min(progress.nextIndex - 1, reply.matchIndex + 1));
    const auto isNextIndexLower = next < progress.nextIndex;
    progress.nextIndex = std::max(next, progress.matchIndex + 1);
    if (isNextIndexLower)
        sendEntries(from, now);
}

// Installs a snapshot (ATC 2014, section 7) unless the commit index has already reached it. Only committed entries are
// covered by a snapshot, so an older one never replaces newer state.
void RaftNode::handle(
    core::NodeId from, const RaftMessage& message, const SnapshotRequest& request, core::TimePoint now)
{
    if (message.term < m_vote.term) {
        enqueue(from, AppendReply { false, m_commitIndex, 0 });
        return;
    }
    if (!followLeader(from, message.term, now))
        return;
    const auto& snapshot = request.snapshot;
    if (snapshot.index > m_commitIndex) {
        if (m_log.lastIndex() > snapshot.index && m_log.termAt(snapshot.index) != snapshot.term
            && !tryWrite([&] { return m_store.truncateFrom(snapshot.index + 1); }))
            return;
        if (!tryWrite([&] { return m_store.saveSnapshot(snapshot); }))
            return;
        if (!tryWrite([&] { return m_stateMachine.restore(snapshot.state); }))
            return;
        m_log.compact(snapshot, m_options.trailingEntries);
        m_commitIndex = m_appliedIndex = snapshot.index;
        m_hasUnsyncedEntries = true;
        m_role = isSelfVoter() ? RaftRole::Follower : RaftRole::Learner;
    }
    enqueue(from, AppendReply { true, m_commitIndex, 0 });
}

} // namespace ibisgw::configuration
