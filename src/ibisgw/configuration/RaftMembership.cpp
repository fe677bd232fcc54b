#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>

namespace ibisgw::configuration {

// Raft takes it for granted that a voter's disk keeps its state (ATC 2014, figure 2). After a
// start a controller therefore asks its peers whether they have seen later state of this disk, and
// neither votes nor acknowledges before they have answered.
void RaftNode::sendDiskChecks(core::TimePoint now)
{
    // A late request of an earlier disk may have replaced this one in the membership.
    const auto* self = m_log.membership().find(m_options.self);
    const bool hearsNobody = m_role != RaftRole::Leader && now - m_lastLeaderContact > 2 * m_options.electionTimeout;
    // With an open membership a voter that was cut off may have been removed without learning of it.
    const bool mayBeRemoved = hearsNobody && m_options.membershipMode == MembershipMode::Open;
    const bool isForgotten = !self || self->disk != m_disk || (!self->voter && hearsNobody) || mayBeRemoved;
    if (now < m_nextDiskCheck || (m_diskConfirmed && m_log.membership().group != 0 && !isForgotten))
        return;
    m_nextDiskCheck = now + m_options.diskCheckInterval;
    for (const auto& it : contacts())
        post(it, DiskCheckRequest { m_startNonce, m_log.lastIndex() });
}

// The controllers of the settings; with an open membership also the members of the own log and those that
// other controllers have named.
std::set<core::NodeId> RaftNode::contacts() const
{
    std::set<core::NodeId> nodes(m_options.controllers.begin(), m_options.controllers.end());
    if (m_options.membershipMode == MembershipMode::Open) {
        nodes.insert(m_namedControllers.begin(), m_namedControllers.end());
        const auto members = m_log.membership().nodes();
        nodes.insert(members.begin(), members.end());
    }
    nodes.erase(m_options.self);
    return nodes;
}

bool RaftNode::mayFoundGroup() const
{
    const auto& listed = m_options.controllers;
    if (!m_options.mayFoundGroup || m_options.self != std::ranges::min(listed))
        return false;
    const auto isNew = [this](core::NodeId node) {
        const auto answer = m_diskAnswers.find(node);
        return node == m_options.self || (answer != m_diskAnswers.end() && !answer->second.hasGroup);
    };
    return std::ranges::all_of(listed, isNew)
        && std::ranges::none_of(m_diskAnswers, [](const auto& it) { return it.second.hasGroup; });
}

void RaftNode::concludeDiskCheck(core::TimePoint now)
{
    const auto& membership = m_log.membership();
    if (membership.group == 0) {
        m_problem = "no group found yet; a new group needs all controllers of the settings, an existing one a leader";
        const bool isOver
            = m_diskAnswers.size() + 1 >= m_options.controllers.size() || now - m_startedAt >= m_options.diskCheckWait;
        m_diskConfirmed = m_options.disabledRules.diskAge
            || (isOver && std::ranges::any_of(m_diskAnswers, [](const auto& it) { return it.second.hasGroup; }));
        if (mayFoundGroup())
            foundGroup(now);
        return;
    }
    if (m_diskConfirmed)
        return;
    const auto confirmations = static_cast<std::size_t>(
        std::ranges::count_if(m_diskAnswers, [](const auto& it) { return it.second.isVoter; }));
    // A learner may know only voters that are gone; it has promised nothing but what it has stored.
    const bool isKnown = std::ranges::any_of(m_diskAnswers, [](const auto& it) { return it.second.hasSameGroup; });
    const std::size_t self = isSelfVoter() ? 1 : 0;
    const bool isComplete = confirmations + self >= membership.voterCount();
    const bool isEnough
        = now - m_startedAt >= m_options.diskCheckWait && (self ? confirmations + self >= newestMajority() : isKnown);
    if (!isComplete && !isEnough && !m_options.disabledRules.diskAge) {
        m_problem = "the other controllers have not confirmed the state of this disk yet; start a majority of them";
        return;
    }
    m_diskConfirmed = true;
    becomeFollower(m_vote.term, {}, now);
}

// A majority in the newest membership of all that have answered: the own log may be old.
std::uint64_t RaftNode::newestMajority() const
{
    auto index = m_log.membershipIndex();
    std::uint64_t majority = m_log.membership().majority();
    for (const auto& [node, answer] : m_diskAnswers) {
        if (answer.hasSameGroup && answer.membershipIndex > index) {
            index = answer.membershipIndex;
            majority = answer.majority;
        }
    }
    return majority;
}

// Without any state to lose, the controller with the lowest identifier starts a group of one
// voter, and the others join it one at a time (dissertation, 4.1). All controllers must answer
// that they have no group, so that an existing group is never started anew.
void RaftNode::foundGroup(core::TimePoint now)
{
    Membership membership { m_disk, { Member { m_options.self, m_disk, true, m_generation, m_startNonce } } };
    if (!saveVote({ std::max<Term>(m_vote.term, 1), m_vote.votedFor }))
        return;
    if (!appendToLog({ LogEntry { m_vote.term, EntryKind::Membership, {}, std::move(membership) } }))
        return;
    m_diskConfirmed = true;
    becomeFollower(m_vote.term, {}, now);
    m_electionDeadline = now;
}

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
    if (store(reload))
        adopt(std::move(stored), now);
}

// Replaces the disk of a controller, or adds a controller of the settings, as a learner. A voter
// whose disk is gone loses its vote in the same entry; that is one change of the voters.
void RaftNode::admit(
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

// Notes the start of a member in the log, so that the group remembers it when all its controllers
// restart. Does not change the voters.
void RaftNode::recordStart(const Member& member, core::TimePoint now)
{
    const auto* known = m_log.membership().find(member.node);
    if (!canChangeMembership() || !known || known->disk != member.disk || known->generation >= member.generation)
        return;
    auto membership = m_log.membership();
    membership.put(member);
    changeMembership(std::move(membership), now);
}

// Voters that are silent may be gone for good. They do not count against the limit, because a group of that many
// voters that has lost one could otherwise neither remove it nor take up its successor.
std::size_t RaftNode::votersInContact(core::TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_log.membership().members, [&](const Member& it) { return it.voter && !isSilent(it.node, now); }));
}

bool RaftNode::isSilent(core::NodeId node, core::TimePoint now) const
{
    const auto progress = m_progress.find(node);
    return progress != m_progress.end() && now - progress->second.lastContact >= m_options.removalTimeout;
}

// A learner gets its vote once its durable log holds every committed entry (dissertation, 4.2.1).
void RaftNode::promoteLearners(core::TimePoint now)
{
    recordStart({ m_options.self, m_disk, isSelfVoter(), m_generation, m_startNonce }, now);
    if (!canChangeMembership() || votersInContact(now) >= m_options.maxVoters)
        return;
    for (const auto& it : m_log.membership().members) {
        const auto progress = m_progress.find(it.node);
        if (it.voter || progress == m_progress.end() || progress->second.matchIndex < m_commitIndex)
            continue;
        if (now - progress->second.lastContact > m_options.electionTimeout)
            continue;
        auto membership = m_log.membership();
        auto voter = it;
        voter.voter = true;
        membership.put(voter);
        changeMembership(std::move(membership), now);
        return;
    }
}

// With an open membership nobody tells the group that a controller is gone for good. One that is only silent
// for a while comes back as a learner as soon as it asks. The voters never become fewer than a group needs
// that loses the tolerated number of disks.
void RaftNode::removeSilentMembers(core::TimePoint now)
{
    if (m_options.membershipMode != MembershipMode::Open || !canChangeMembership())
        return;
    const std::size_t minVoters = 2 * m_options.toleratedDiskLosses + 1;
    const auto voters = m_log.membership().voterCount();
    for (const auto& it : m_log.membership().members) {
        if (!isSilent(it.node, now) || (it.voter && voters <= minVoters))
            continue;
        auto membership = m_log.membership();
        membership.remove(it.node);
        changeMembership(std::move(membership), now);
        return;
    }
}

// A controller that is still in the settings of the leader comes back as a learner as soon as it asks.
core::Result<void> RaftNode::removeMember(core::NodeId node, core::TimePoint now, RaftOutput& output)
{
    if (!canChangeMembership())
        return core::fail(core::ErrorKind::Unavailable,
            "the membership cannot change now; ask the leader, after the change in progress is committed");
    if (node == m_options.self)
        return core::fail(
            core::ErrorKind::InvalidInput, "the leader cannot remove itself; stop it and ask the next leader");
    if (!m_log.membership().find(node))
        return core::fail(core::ErrorKind::NotFound, "controller " + node.endpoint().toString() + " is not a member");
    auto membership = m_log.membership();
    membership.remove(node);
    changeMembership(std::move(membership), now);
    finish(output);
    return {};
}

// One change at a time, and only after an entry of the own term is committed (dissertation, 4.1,
// with the correction of Ongaro, "bug in single-server membership changes", raft-dev 2015).
bool RaftNode::canChangeMembership() const
{
    return m_role == RaftRole::Leader && m_commitIndex >= m_firstOwnIndex && m_log.membershipIndex() <= m_commitIndex;
}

void RaftNode::changeMembership(Membership membership, core::TimePoint now)
{
    if (!appendToLog({ LogEntry { m_vote.term, EntryKind::Membership, {}, std::move(membership) } }))
        return;
    syncProgress(now);
    broadcastEntries(now, false);
}

void RaftNode::syncProgress(core::TimePoint now)
{
    const auto& membership = m_log.membership();
    std::erase_if(m_progress, [&](const auto& it) {
        const auto* member = membership.find(it.first);
        return !member || member->disk != it.second.disk;
    });
    for (const auto& it : membership.members) {
        if (it.node == m_options.self || m_progress.contains(it.node))
            continue;
        Progress progress { .disk = it.disk, .nextIndex = m_log.lastIndex() };
        progress.lastContact = now;
        m_progress.emplace(it.node, progress);
    }
}

// Notes the latest state that a peer has shown, to recognize a disk that was replaced by an older copy.
void RaftNode::remember(core::NodeId from, const RaftMessage& message)
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
    // The leader of a term syncs its entries before it sends them, so its disk holds all that are in
    // the log here. This evidence is durable; the record of a peer is lost with this process. A
    // copy from the present start of a follower is therefore not recognized once the leader
    // that counted its acknowledgements has restarted.
    const bool ledThisTerm = m_vote.term == message.term && m_vote.votedFor == from && member
        && member->disk == message.disk && m_log.lastTerm() == message.term;
    const bool isShorterThanSent = ledThisTerm && request.lastIndex < m_log.lastIndex();
    // In one term a durable log of a peer does not get shorter, and its term never falls.
    const bool isOutdated = isEarlierStart || isShorterThanSent || message.generation < record.generation
        || isOtherStart || message.term < record.term
        || (message.term == record.term && request.lastIndex < record.lastIndex);
    if (!isOutdated) {
        record.generation = message.generation;
        record.startNonce = request.startNonce;
    }
    const auto& membership = m_log.membership();
    post(from,
        DiskCheckReply { message.disk, request.startNonce, isOutdated, isSelfVoter(), m_log.membershipIndex(),
            membership.majority(), membership.nodes() });
    if (!isOutdated)
        admit(from, message, request, now);
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const DiskCheckReply& reply, core::TimePoint now)
{
    if (reply.disk != m_disk || reply.startNonce != m_startNonce)
        return;
    if (reply.outdated) {
        // A reply to an earlier request of this start may be late; a confirmed disk is not replaced.
        if (!m_diskConfirmed)
            rejoinWithNewDisk(now);
        return;
    }
    auto& answer = m_diskAnswers[from];
    answer.hasGroup = answer.hasGroup || message.group != 0;
    answer.hasSameGroup = message.group == m_log.membership().group;
    // Either log may be too old to know that the peer has a vote.
    answer.isVoter = answer.hasSameGroup && (reply.voter || m_log.membership().isVoter(from, message.disk));
    answer.membershipIndex = reply.membershipIndex;
    answer.majority = reply.majority;
    m_namedControllers.insert(reply.members.begin(), reply.members.end());
}

} // namespace ibisgw::configuration
