#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>

namespace ibisgw::configuration {

// Raft assumes that a voter does not lose its persistent state (ATC 2014, figure 2). A controller therefore sends
// DiskCheckRequests to its peers after each start, and neither votes nor acknowledges entries until they have confirmed
// that they have recorded no later state of its disk.
void RaftNode::sendDiskChecks(core::TimePoint now)
{
    // A delayed request from an earlier disk of this controller may have replaced the present disk in the membership.
    const auto* self = m_log.membership().find(m_options.self);
    const bool isWithoutLeader
        = m_role != RaftRole::Leader && now - m_lastLeaderContact > 2 * m_options.electionTimeout;
    // With an open membership a voter may have been removed while it was partitioned, without receiving that entry.
    const bool mayHaveBeenRemoved = isWithoutLeader && m_options.membershipMode == MembershipMode::Open;
    const bool mayBeExcluded = !self || self->disk != m_disk || (!self->voter && isWithoutLeader) || mayHaveBeenRemoved;
    if (now < m_nextDiskCheck || (m_isDiskConfirmed && m_log.membership().group != 0 && !mayBeExcluded))
        return;
    // The leader would admit a controller again that it has removed at its own request.
    if (m_isLeaving)
        return;
    m_nextDiskCheck = now + m_options.diskCheckInterval;
    for (const auto& it : diskCheckPeers())
        enqueue(it, DiskCheckRequest { m_startNonce, m_log.lastIndex() });
}

// The listed controllers; with an open membership also the members according to the log and the controllers
// discovered through messages.
std::set<core::NodeId> RaftNode::diskCheckPeers() const
{
    std::set<core::NodeId> nodes(m_options.controllers.begin(), m_options.controllers.end());
    if (m_options.membershipMode == MembershipMode::Open) {
        nodes.insert(m_discoveredControllers.begin(), m_discoveredControllers.end());
        const auto members = m_log.membership().nodes();
        nodes.insert(members.begin(), members.end());
    }
    nodes.erase(m_options.self);
    return nodes;
}

// True on the listed controller with the lowest identifier, once all listed controllers have replied that they belong
// to no group and no other controller has reported one.
bool RaftNode::canBootstrapGroup() const
{
    const auto& listed = m_options.controllers;
    if (!m_options.mayBootstrapGroup || m_options.self != std::ranges::min(listed))
        return false;
    const auto hasNoGroup = [this](core::NodeId node) {
        const auto answer = m_diskCheckResults.find(node);
        return node == m_options.self || (answer != m_diskCheckResults.end() && !answer->second.hasGroup);
    };
    return std::ranges::all_of(listed, hasNoGroup)
        && std::ranges::none_of(m_diskCheckResults, [](const auto& it) { return it.second.hasGroup; });
}

void RaftNode::concludeDiskCheck(core::TimePoint now)
{
    const auto& membership = m_log.membership();
    if (membership.group == 0) {
        m_problem = "no group found yet; a new group needs all controllers of the settings, an existing one a leader";
        const bool isWaitOver = m_diskCheckResults.size() + 1 >= m_options.controllers.size()
            || now - m_startedAt >= m_options.diskCheckWait;
        m_isDiskConfirmed = m_options.disabledRules.diskAge
            || (isWaitOver
                && std::ranges::any_of(m_diskCheckResults, [](const auto& it) { return it.second.hasGroup; }));
        if (canBootstrapGroup())
            bootstrapGroup(now);
        return;
    }
    if (m_isDiskConfirmed)
        return;
    if (!isDiskConfirmedByVoters(now) && !m_options.disabledRules.diskAge) {
        m_problem = "the other controllers have not confirmed the state of this disk yet; start a majority of them";
        return;
    }
    m_isDiskConfirmed = true;
    becomeFollower(m_vote.term, {}, now);
}

// True once all voters have replied that they have recorded no later state of this disk, or after diskCheckWait a
// quorum that may include voters with lost disks as in isQuorum().
bool RaftNode::isDiskConfirmedByVoters(core::TimePoint now) const
{
    const auto& membership = newestKnownMembership();
    const auto* self = membership.find(m_options.self);
    std::size_t confirmations = self && self->voter && isSelf(*self) ? 1 : 0;
    std::size_t lostVoters = 0;
    bool hasGroupMember = false;
    for (const auto& [node, answer] : m_diskCheckResults) {
        const auto* member = membership.find(node);
        hasGroupMember |= answer.hasSameGroup;
        if (!member || !member->voter)
            continue;
        if (member->disk != answer.disk)
            ++lostVoters;
        else if (answer.hasSameGroup)
            ++confirmations;
    }
    if (confirmations >= membership.voterCount())
        return true;
    if (now - m_startedAt < m_options.diskCheckWait)
        return false;
    // For a learner the reply of any member of the group suffices: all voters in its log may have left the group, and
    // a learner has made no promise beyond its stored state.
    if (!isSelfVoter())
        return hasGroupMember;
    return confirmations + std::min(lostVoters, membership.lostVoterAllowance()) >= membership.majority();
}

// Newest membership among the own log and the replies, because the own log may be outdated.
const Membership& RaftNode::newestKnownMembership() const
{
    const auto* newest = &m_log.membership();
    auto index = m_log.membershipIndex();
    for (const auto& [node, answer] : m_diskCheckResults) {
        if (answer.hasSameGroup && answer.membershipIndex > index) {
            index = answer.membershipIndex;
            newest = &answer.membership;
        }
    }
    return *newest;
}

// Creates a group with this controller as its only voter; the others join one at a time (dissertation, 4.1). Called
// only after all listed controllers have replied that they belong to no group, so that no second group is created.
void RaftNode::bootstrapGroup(core::TimePoint now)
{
    Membership membership { m_disk, { Member { m_options.self, m_disk, true, m_generation, m_startNonce } } };
    if (!saveVote({ std::max<Term>(m_vote.term, 1), m_vote.votedFor }))
        return;
    if (!appendToLog({ LogEntry { m_vote.term, EntryKind::Membership, {}, std::move(membership) } }))
        return;
    m_isDiskConfirmed = true;
    becomeFollower(m_vote.term, {}, now);
    m_electionDeadline = now;
}

// Called when a peer has reported that this disk is an older copy: erases the store, which then gets a new disk
// identity, so that this controller rejoins as a learner.
void RaftNode::rejoinWithNewDisk(core::TimePoint now)
{
    m_outbox.clear();
    m_progress.clear();
    StoredState stored;
    const auto reload = [&]() -> core::Result<void> {
        BOOST_LEAF_CHECK(m_store.discard());
        BOOST_LEAF_ASSIGN(stored, m_store.load());
        return m_stateMachine.restore({});
    };
    if (tryWrite(reload))
        loadState(std::move(stored), now);
}

// Called on each valid DiskCheckRequest; has an effect only on the leader. Adds an unknown controller, or a member with
// a new disk, as a learner. A voter that has lost its disk loses its vote in the same entry, so this changes at most
// one voter. For a member with its known disk, records the start and restarts the replication.
void RaftNode::admitController(
    core::NodeId node, const RaftMessage& message, const DiskCheckRequest& request, core::TimePoint now)
{
    const bool isListed = std::ranges::find(m_options.controllers, node) != m_options.controllers.end();
    if (m_role != RaftRole::Leader || (!isListed && m_options.membershipMode == MembershipMode::Listed))
        return;
    const auto* member = m_log.membership().find(node);
    const Member current { node, message.disk, member && member->voter, message.generation, request.startNonce };
    if (member && (member->disk == message.disk || m_options.disabledRules.diskIdentity)) {
        auto& progress = m_progress.at(node);
        if (progress.generation != message.generation) {
            const auto nextIndex = m_log.lastIndex() + 1;
            progress = Progress { .disk = message.disk, .nextIndex = nextIndex, .generation = message.generation };
            progress.lastContact = now;
        }
        recordStart(current, now);
        return;
    }
    if (!canChangeMembership())
        return;
    auto membership = m_log.membership();
    membership.put({ node, message.disk, false, message.generation, request.startNonce });
    changeMembership(std::move(membership), now);
}

// Records the start of a member in the log, so that the record survives a restart of all controllers. Does not change
// the set of voters.
void RaftNode::recordStart(const Member& member, core::TimePoint now)
{
    const auto* known = m_log.membership().find(member.node);
    if (!canChangeMembership() || !known || known->disk != member.disk || known->generation >= member.generation)
        return;
    auto membership = m_log.membership();
    membership.put(member);
    changeMembership(std::move(membership), now);
}

// Number of voters that are in contact with the leader, for the limit maxVoters. Silent voters may have failed
// permanently and are not counted: otherwise a group that has maxVoters voters and has lost one of them could neither
// remove it nor promote its replacement.
std::size_t RaftNode::votersInContact(core::TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_log.membership().members, [&](const Member& it) { return it.voter && !isSilent(it.node, now); }));
}

bool RaftNode::isSilent(core::NodeId node, core::TimePoint now) const
{
    if (node == m_options.self)
        return m_isLeaving;
    const auto progress = m_progress.find(node);
    if (progress == m_progress.end())
        return false;
    return progress->second.isStopping || now - progress->second.lastContact >= m_options.removalTimeout;
}

bool RaftNode::isLearnerInContact(const Member& member, core::TimePoint now) const
{
    const auto progress = m_progress.find(member.node);
    return !member.voter && progress != m_progress.end() && !progress->second.isStopping
        && now - progress->second.lastContact <= m_options.electionTimeout;
}

// Makes one learner a voter once its durable log holds every committed entry (dissertation, 4.2.1).
void RaftNode::promoteLearners(core::TimePoint now)
{
    recordStart({ m_options.self, m_disk, isSelfVoter(), m_generation, m_startNonce }, now);
    if (!canChangeMembership() || votersInContact(now) >= m_options.maxVoters)
        return;
    for (const auto& it : m_log.membership().members) {
        const auto progress = m_progress.find(it.node);
        if (!isLearnerInContact(it, now) || progress->second.matchIndex < m_commitIndex)
            continue;
        auto membership = m_log.membership();
        auto voter = it;
        voter.voter = true;
        membership.put(voter);
        changeMembership(std::move(membership), now);
        return;
    }
}

// With an open membership no operator reports that a controller has failed permanently, so the leader removes members
// that are silent for the removal timeout. A controller that was only partitioned rejoins as a learner with its next
// DiskCheckRequest.
void RaftNode::removeSilentMembers(core::TimePoint now)
{
    if (m_options.membershipMode != MembershipMode::Open || !canChangeMembership())
        return;
    for (const auto& it : m_log.membership().members) {
        if (!isSilent(it.node, now) || (it.voter && !hasVoterToSpare()))
            continue;
        removeFromMembership(it.node, now);
        return;
    }
}

// A removed controller that the leader's settings still list rejoins as a learner with its next DiskCheckRequest.
core::Result<void> RaftNode::removeMember(core::NodeId node, core::TimePoint now, RaftOutput& output)
{
    if (!canChangeMembership())
        return core::fail(core::ErrorKind::Unavailable,
            "the membership cannot change now; retry on the leader after the change in progress is committed");
    if (node == m_options.self)
        return core::fail(
            core::ErrorKind::InvalidInput, "the leader cannot remove itself; stop it and retry on the next leader");
    if (!m_log.membership().find(node))
        return core::fail(core::ErrorKind::NotFound, "controller " + node.endpoint().toString() + " is not a member");
    removeFromMembership(node, now);
    syncAndSend(output);
    return {};
}

// Only one membership change may be in progress, and only after the leader has committed an entry of its own term
// (dissertation, 4.1, with the correction of Ongaro, "bug in single-server membership changes", raft-dev 2015).
bool RaftNode::canChangeMembership() const
{
    return m_role == RaftRole::Leader && m_commitIndex >= m_firstIndexOfTerm
        && m_log.membershipIndex() <= m_commitIndex;
}

// At least 2f + 1 voters must remain, where f is the number of tolerated disk losses.
bool RaftNode::hasVoterToSpare() const
{
    return m_log.membership().voterCount() > 2 * m_options.toleratedDiskLosses + 1;
}

void RaftNode::removeFromMembership(core::NodeId node, core::TimePoint now)
{
    auto membership = m_log.membership();
    membership.remove(node);
    changeMembership(std::move(membership), now);
}

void RaftNode::changeMembership(Membership membership, core::TimePoint now)
{
    if (!appendToLog({ LogEntry { m_vote.term, EntryKind::Membership, {}, std::move(membership) } }))
        return;
    updateProgress(now);
    broadcastEntries(now, false);
}

// Matches m_progress to the memberships in force: drops removed members and replaced disks, and adds new members.
void RaftNode::updateProgress(core::TimePoint now)
{
    std::map<core::NodeId, DiskIdentity> disks;
    // The newest membership comes first, so its disk counts for a node that is in both.
    for (const auto* membership : membershipsInForce()) {
        for (const auto& it : membership->members)
            disks.emplace(it.node, it.disk);
    }
    disks.erase(m_options.self);
    std::erase_if(m_progress, [&](const auto& it) {
        const auto disk = disks.find(it.first);
        return disk == disks.end() || disk->second != it.second.disk;
    });
    for (const auto& [node, disk] : disks) {
        if (m_progress.contains(node))
            continue;
        Progress progress { .disk = disk, .nextIndex = m_log.lastIndex() };
        progress.lastContact = now;
        m_progress.emplace(node, progress);
    }
}

// Records the latest state observed in the messages of a peer, to detect a disk that was replaced by an older copy.
// Ignores DiskCheckRequests, whose handler compares them with the record first.
void RaftNode::recordPeerState(core::NodeId from, const RaftMessage& message)
{
    if (std::holds_alternative<DiskCheckRequest>(message.body))
        return;
    auto& record = m_peerRecords[{ from, message.disk }];
    if (message.generation > record.generation) {
        record.generation = message.generation;
        record.startNonce = 0;
    }
    LogIndex lastIndex = 0;
    if (const auto* reply = std::get_if<AppendReply>(&message.body); reply && reply->success)
        lastIndex = reply->matchIndex;
    else if (const auto* request = std::get_if<AppendRequest>(&message.body))
        lastIndex = request->previousIndex + request->entries.size();
    if (message.term > record.term) {
        record.term = message.term;
        record.lastIndex = lastIndex;
    } else if (message.term == record.term) {
        record.lastIndex = std::max(record.lastIndex, lastIndex);
    }
}

void RaftNode::handle(
    core::NodeId from, const RaftMessage& message, const DiskCheckRequest& request, core::TimePoint now)
{
    auto& record = m_peerRecords[{ from, message.disk }];
    const bool isOtherStart
        = message.generation == record.generation && record.startNonce != 0 && record.startNonce != request.startNonce;
    const auto* member = m_log.membership().find(from);
    const bool isEarlierStart = member && member->disk == message.disk
        && (message.generation < member->generation
            || (message.generation == member->generation && request.startNonce != member->startNonce));
    // The leader of a term syncs its entries before it sends them, so its disk must hold every entry of that term in
    // the log of this controller. This evidence is durable, whereas m_peerRecords is lost when this process ends.
    // Therefore a copy taken during the present start of a follower is not detected once the leader that counted the
    // follower's acknowledgements has restarted.
    const bool isLeaderOfTerm = m_vote.term == message.term && m_vote.votedFor == from && member
        && member->disk == message.disk && m_log.lastTerm() == message.term;
    const bool isShorterThanSent = isLeaderOfTerm && request.lastIndex < m_log.lastIndex();
    // Within one term the durable log of a peer never gets shorter, and its term never decreases.
    const bool isOutdated = isEarlierStart || isShorterThanSent || message.generation < record.generation
        || isOtherStart || message.term < record.term
        || (message.term == record.term && request.lastIndex < record.lastIndex);
    if (!isOutdated) {
        record.generation = message.generation;
        record.startNonce = request.startNonce;
    }
    enqueue(from,
        DiskCheckReply { message.disk, request.startNonce, isOutdated, m_log.membershipIndex(), m_log.membership() });
    if (!isOutdated)
        admitController(from, message, request, now);
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const DiskCheckReply& reply, core::TimePoint now)
{
    if (reply.disk != m_disk || reply.startNonce != m_startNonce)
        return;
    if (reply.outdated) {
        // The reply may be a delayed one to an earlier request of this start; a confirmed disk is not erased.
        if (!m_isDiskConfirmed)
            rejoinWithNewDisk(now);
        return;
    }
    auto& answer = m_diskCheckResults[from];
    answer.hasGroup = answer.hasGroup || message.group != 0;
    answer.hasSameGroup = message.group == m_log.membership().group;
    answer.disk = message.disk;
    answer.membershipIndex = reply.membershipIndex;
    answer.membership = reply.membership;
    const auto nodes = reply.membership.nodes();
    m_discoveredControllers.insert(nodes.begin(), nodes.end());
}

} // namespace ibisgw::configuration
