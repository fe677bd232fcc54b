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
    const bool isFirstStart = m_options.mayBootstrapGroup && m_log.membership().group == 0;
    for (const auto& it : diskCheckPeers())
        enqueue(it, DiskCheckRequest { m_startNonce, m_log.lastIndex(), m_options.zone, isFirstStart });
}

// The listed controllers; with an open membership also the seeds, the members according to the log and the controllers
// discovered through messages.
std::set<core::NodeId> RaftNode::diskCheckPeers() const
{
    std::set<core::NodeId> nodes(m_options.controllers.begin(), m_options.controllers.end());
    if (m_options.membershipMode == MembershipMode::Open) {
        nodes.insert(m_seeds.begin(), m_seeds.end());
        nodes.insert(m_discoveredControllers.begin(), m_discoveredControllers.end());
        const auto members = m_log.membership().nodes();
        nodes.insert(members.begin(), members.end());
    }
    nodes.erase(m_options.self);
    return nodes;
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
    std::size_t confirmations = self && hasVote(*self, m_disk) ? 1 : 0;
    std::size_t lostVoters = 0;
    bool hasGroupMember = false;
    for (const auto& [node, answer] : m_diskCheckResults) {
        const auto* member = membership.find(node);
        hasGroupMember |= answer.hasSameGroup;
        if (!member)
            continue;
        if (answer.hasSameGroup && hasVote(*member, answer.disk))
            ++confirmations;
        else if (member->voter && member->disk != answer.disk)
            ++lostVoters;
    }
    if (confirmations >= membership.voterCount())
        return true;
    if (now - m_startedAt < m_options.diskCheckWait)
        return false;
    // For a learner the reply of any member of the group suffices: all voters in its log may have left the group, and
    // a learner has made no promise beyond its stored state.
    if (!isSelfVoter())
        return hasGroupMember;
    return confirmations + std::min(lostVoters, lostVoterAllowance(membership)) >= membership.majority();
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

// Whether this controller has recorded a later state of the disk with which the sender has started, so that the disk
// was replaced by an older copy.
bool RaftNode::hasLaterStateOf(core::NodeId from, const RaftMessage& message, const DiskCheckRequest& request) const
{
    const auto* member = m_log.membership().find(from);
    const bool isMember = member && member->disk == message.disk;
    const bool isEarlierStart = isMember
        && (message.generation < member->generation
            || (message.generation == member->generation && request.startNonce != member->startNonce));
    // The leader of a term syncs its entries before it sends them, so its disk must hold every entry of that term in
    // the log of this controller. This evidence is durable, whereas m_peerRecords is lost when this process ends.
    // Therefore a copy taken during the present start of a follower is not detected once the leader that counted the
    // follower's acknowledgements has restarted.
    const bool isLeaderOfTerm
        = isMember && m_vote == VoteState { message.term, from } && m_log.lastTerm() == message.term;
    if (isEarlierStart || (isLeaderOfTerm && request.lastIndex < m_log.lastIndex()))
        return true;
    const auto known = m_peerRecords.find({ from, message.disk });
    if (known == m_peerRecords.end())
        return false;
    const auto& record = known->second;
    const bool isOtherStart
        = message.generation == record.generation && record.startNonce != 0 && record.startNonce != request.startNonce;
    // Within one term the durable log of a peer never gets shorter, and its term never decreases.
    return isOtherStart || message.generation < record.generation || message.term < record.term
        || (message.term == record.term && request.lastIndex < record.lastIndex);
}

void RaftNode::handle(
    core::NodeId from, const RaftMessage& message, const DiskCheckRequest& request, core::TimePoint now)
{
    const bool isOutdated = hasLaterStateOf(from, message, request);
    if (!isOutdated) {
        auto& record = m_peerRecords[{ from, message.disk }];
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
