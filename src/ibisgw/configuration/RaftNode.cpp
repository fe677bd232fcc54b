#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>

namespace ibisgw::configuration {

namespace {

template <typename... Bodies> bool holdsAnyOf(const RaftMessage& message)
{
    return (std::holds_alternative<Bodies>(message.body) || ...);
}

} // namespace

RaftNode::RaftNode(RaftOptions options, LogStore& store, StateMachine& stateMachine, core::RandomSource& random)
    : m_options(std::move(options))
    , m_store(store)
    , m_stateMachine(stateMachine)
    , m_random(random)
    , m_seeds(m_options.controllers)
{
}

core::Result<void> RaftNode::start(core::TimePoint now)
{
    BOOST_LEAF_AUTO(stored, m_store.load());
    BOOST_LEAF_CHECK(m_stateMachine.restore(stored.snapshot.state));
    loadState(std::move(stored), now);
    return {};
}

void RaftNode::loadState(StoredState stored, core::TimePoint now)
{
    m_disk = stored.disk;
    m_generation = stored.generation;
    m_startNonce = stored.startNonce;
    m_vote = stored.vote;
    m_appliedIndex = stored.snapshot.index;
    const auto storedCommit = stored.commitIndex;
    m_log.reset(std::move(stored.snapshot), std::move(stored.entries));
    m_durableIndex = m_log.lastIndex();
    m_commitIndex = m_savedCommitIndex = std::clamp(storedCommit, m_appliedIndex, m_durableIndex);
    applyCommitted();
    m_role = RaftRole::CheckingDisk;
    m_leader = {};
    m_diskCheckResults.clear();
    m_isDiskConfirmed = false;
    m_progress.clear();
    m_startedAt = m_nextDiskCheck = now;
    resetElectionTimer(now);
}

void RaftNode::handleMessage(core::NodeId from, const RaftMessage& message, core::TimePoint now, RaftOutput& output)
{
    if (m_role == RaftRole::Halted)
        return;
    discoverSender(from, message);
    if (!acceptsMessage(from, message))
        return;
    recordPeerState(from, message);
    std::visit([&](const auto& body) { handle(from, message, body, now); }, message.body);
    syncAndSend(output);
}

void RaftNode::tick(core::TimePoint now, RaftOutput& output)
{
    if (m_role == RaftRole::Halted)
        return;
    sendDiskChecks(now);
    concludeDiskCheck(now);
    sendLeaveRequest(now);
    // Without recent contact the leader may have failed, so it is no longer reported to operators as the leader.
    if (m_role != RaftRole::Leader && now - m_lastLeaderContact > 2 * m_options.electionTimeout)
        m_leader = {};
    if (m_role == RaftRole::Leader) {
        checkQuorum(now);
        if (m_role == RaftRole::Leader) {
            updateProgress(now);
            promoteLearners(now);
            removeSilentMembers(now);
            demoteReplacedVoters(now);
            stepDownIfNoVoter(now);
            sendRejoinNotices(now);
            leaveAsLeader(now);
            if (now >= m_nextHeartbeat)
                broadcastEntries(now, true);
        }
    } else if (m_role != RaftRole::CheckingDisk && mayStandForElection() && now >= m_electionDeadline) {
        startElection(true, now);
    }
    saveCommitIfDue(now);
    syncAndSend(output);
}

std::optional<LogIndex> RaftNode::propose(std::string command, core::TimePoint now, RaftOutput& output)
{
    if (!isAccepting())
        return std::nullopt;
    if (!appendToLog({ LogEntry { m_vote.term, EntryKind::Command, std::move(command), {} } }))
        return std::nullopt;
    const auto index = m_log.lastIndex();
    broadcastEntries(now, false);
    syncAndSend(output);
    if (m_role != RaftRole::Leader)
        return std::nullopt;
    return index;
}

bool RaftNode::isAccepting() const
{
    if (m_role != RaftRole::Leader)
        return false;
    if (m_options.membershipMode == MembershipMode::Open)
        return m_log.membership().majority() > m_options.toleratedDiskLosses + countLostVoters(m_log.membership());
    // With fewer voters than a majority of the listed controllers, an accepted revision would be on too few disks.
    return m_log.membership().voterCount() >= m_options.controllers.size() / 2 + 1;
}

std::optional<ReadTicket> RaftNode::beginRead(core::TimePoint now, RaftOutput& output)
{
    if (m_role != RaftRole::Leader || m_commitIndex < m_firstIndexOfTerm)
        return std::nullopt;
    const ReadTicket ticket { m_vote.term, ++m_readSequence, m_commitIndex };
    broadcastEntries(now, true);
    syncAndSend(output);
    return ticket;
}

ReadState RaftNode::readState(const ReadTicket& ticket) const
{
    if (m_role != RaftRole::Leader || m_vote.term != ticket.term)
        return ReadState::Lost;
    if (m_options.disabledRules.readConfirmation)
        return ReadState::Ready;
    const auto hasConfirmed = [&](const Member& it) {
        const auto* progress = findProgress(it);
        return isSelf(it) || (progress && progress->readSequence >= ticket.sequence);
    };
    return isQuorum(hasConfirmed) && m_appliedIndex >= ticket.index ? ReadState::Ready : ReadState::Pending;
}

void RaftNode::syncAndSend(RaftOutput& output)
{
    const auto& disabled = m_options.disabledRules;
    const bool isSyncNeeded
        = (m_hasUnsyncedVote && !disabled.voteSync) || (m_hasUnsyncedEntries && !disabled.entrySync);
    m_hasUnsyncedVote = m_hasUnsyncedEntries = false;
    if (m_role != RaftRole::Halted && (!isSyncNeeded || tryWrite([&] { return m_store.sync(); }))) {
        m_durableIndex = m_log.lastIndex();
        if (m_role == RaftRole::Leader)
            advanceCommit();
        applyCommitted();
        compactIfLong();
    }
    auto messages = std::exchange(m_outbox, {});
    // After a store failure no message is sent, because it could acknowledge entries or votes that are not durable.
    if (m_role == RaftRole::Halted)
        return;
    for (auto& [to, message] : messages)
        output.send(to, message);
}

void RaftNode::halt(const core::Error& error)
{
    m_role = RaftRole::Halted;
    m_leader = {};
    m_problem = error.message;
}

bool RaftNode::saveVote(VoteState vote)
{
    if (vote == m_vote)
        return true;
    if (!tryWrite([&] { return m_store.saveVote(vote); }))
        return false;
    m_vote = vote;
    m_hasUnsyncedVote = true;
    return true;
}

bool RaftNode::appendToLog(std::vector<LogEntry> entries)
{
    if (!tryWrite([&] { return m_store.appendEntries(m_log.lastIndex() + 1, entries); }))
        return false;
    m_hasUnsyncedEntries = true;
    for (auto& it : entries)
        m_log.append(std::move(it));
    return true;
}

void RaftNode::applyCommitted()
{
    while (m_appliedIndex < m_commitIndex) {
        const auto& entry = m_log.at(++m_appliedIndex);
        if (entry.kind == EntryKind::Command)
            m_stateMachine.apply(entry.command);
    }
}

// With an open membership a controller that starts must know that its membership is committed, as isQuorum() requires
// more voters otherwise, and after a loss of all power nobody could tell it.
bool RaftNode::isMembershipCommitUnsaved() const
{
    const auto index = m_log.membershipIndex();
    return m_options.membershipMode == MembershipMode::Open && index <= m_commitIndex && index > m_savedCommitIndex;
}

void RaftNode::saveCommitIfDue(core::TimePoint now)
{
    if (m_commitIndex == m_savedCommitIndex)
        return;
    const auto interval = m_options.commitSaveInterval;
    const bool isDue = interval != core::Duration::zero() && now >= m_nextCommitSave;
    if (!isDue && !isMembershipCommitUnsaved())
        return;
    m_nextCommitSave = now + interval;
    if (!tryWrite([&] { return m_store.saveCommit(m_commitIndex); }))
        return;
    m_savedCommitIndex = m_commitIndex;
    m_hasUnsyncedEntries = true;
}

void RaftNode::compactIfLong()
{
    if (m_appliedIndex - m_log.snapshot().index < m_options.snapshotEntries
        && m_log.bytesAfter(m_log.snapshot().index) < m_options.snapshotBytes)
        return;
    if (m_appliedIndex == m_log.snapshot().index)
        return;
    Snapshot snapshot { m_appliedIndex, m_log.termAt(m_appliedIndex).value_or(0), m_log.snapshot().membership, {} };
    for (LogIndex index = m_appliedIndex; index > m_log.snapshot().index; --index) {
        if (m_log.at(index).kind == EntryKind::Membership) {
            snapshot.membership = m_log.at(index).membership;
            break;
        }
    }
    snapshot.state = m_stateMachine.takeSnapshot();
    if (tryWrite([&] { return m_store.saveSnapshot(snapshot); }))
        m_log.compact(std::move(snapshot), m_options.trailingEntries);
}

void RaftNode::enqueue(core::NodeId to, decltype(RaftMessage::body) body)
{
    m_outbox.emplace_back(
        to, RaftMessage { m_vote.term, m_log.membership().group, m_disk, m_generation, std::move(body) });
}

bool RaftNode::isSelfVoter() const
{
    const auto* member = m_log.membership().find(m_options.self);
    return member && hasVote(*member, m_disk);
}

bool RaftNode::acceptsMessage(core::NodeId from, const RaftMessage& message) const
{
    if (holdsAnyOf<DiskCheckRequest, DiskCheckReply, DiskIdentityRequest, DiskIdentityReply, RejoinNotice>(message))
        return from != m_options.self;
    const auto group = m_log.membership().group;
    if (group != 0 && message.group != group)
        return false;
    if (group == 0) {
        // A controller without a group joins the group of the first leader that sends it entries or a snapshot. The
        // disk check must be complete: the disk could be a copy from before the controller became a voter.
        return m_isDiskConfirmed && message.group != 0 && holdsAnyOf<AppendRequest, SnapshotRequest>(message);
    }
    return m_isDiskConfirmed;
}

} // namespace ibisgw::configuration
