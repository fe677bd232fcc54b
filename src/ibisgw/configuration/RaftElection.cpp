#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>

namespace ibisgw::configuration {

// Randomized election timeouts make split votes rare (ATC 2014, section 5.2).
void RaftNode::resetElectionTimer(core::TimePoint now)
{
    const auto spread = static_cast<std::uint64_t>(m_options.electionTimeout.count());
    m_electionDeadline = now + m_options.electionTimeout + core::Duration(m_random.below(spread));
}

void RaftNode::becomeFollower(Term term, core::NodeId leader, core::TimePoint now)
{
    if (term > m_vote.term && !saveVote({ term, {} }))
        return;
    if (m_role == RaftRole::Leader)
        m_progress.clear();
    m_leader = leader;
    m_role = isSelfVoter() ? RaftRole::Follower : RaftRole::Learner;
    m_problem.clear();
    resetElectionTimer(now);
}

// A voter whose demotion or removal is not known to be committed is still needed: it may be the only one whose log is
// up to date (dissertation, 4.2.2).
bool RaftNode::mayStandForElection() const
{
    const auto isVoter = [this](const Membership* it) {
        const auto* self = it->find(m_options.self);
        return self && hasVote(*self, m_disk);
    };
    return !m_isLeaving && std::ranges::any_of(membershipsInForce(), isVoter);
}

// With pre-votes (dissertation, 9.6) a controller increments its term only after a majority would grant it their
// votes, so a controller that rejoins after a partition does not depose a working leader.
void RaftNode::startElection(bool isPreVote, core::TimePoint now)
{
    if (!isPreVote && !saveVote({ m_vote.term + 1, m_options.self }))
        return;
    m_role = isPreVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    m_leader = {};
    m_votes.clear();
    if (isPreVote) {
        m_lostDisks.clear();
        m_diskIdentityNonce = m_random.next();
    }
    // A retry uses a shorter timeout than the first attempt: the attempt may have failed only because a peer received
    // the last heartbeat of the old leader later, or because two candidates split the votes.
    const auto spread = static_cast<std::uint64_t>(m_options.heartbeatInterval.count());
    m_electionDeadline = now + m_options.heartbeatInterval / 2 + core::Duration(m_random.below(spread));
    for (const auto& it : peersInForce()) {
        enqueue(it, VoteRequest { isPreVote, m_log.lastIndex(), m_log.lastTerm() });
        if (isPreVote)
            enqueue(it, DiskIdentityRequest { m_diskIdentityNonce });
    }
    countVotes(now);
}

void RaftNode::countVotes(core::TimePoint now)
{
    const auto hasVoted = [this](const Member& it) {
        const auto vote = m_votes.find(it.node);
        // A vote from another disk than the member's is not counted: the lost disk may have recorded a vote for another
        // candidate in this term.
        return isSelf(it)
            || (vote != m_votes.end() && (vote->second == it.disk || m_options.disabledRules.diskIdentity));
    };
    if (!isQuorum(hasVoted))
        return;
    if (m_role == RaftRole::PreCandidate)
        startElection(false, now);
    else if (m_role == RaftRole::Candidate)
        becomeLeader(now);
}

void RaftNode::becomeLeader(core::TimePoint now)
{
    m_role = RaftRole::Leader;
    m_leader = m_options.self;
    m_problem.clear();
    m_progress.clear();
    m_firstIndexOfTerm = m_log.lastIndex() + 1;
    // Committing this no-operation entry also commits the entries of earlier terms (ATC 2014, section 8).
    if (!appendToLog({ LogEntry { m_vote.term, EntryKind::NoOperation, {}, {} } }))
        return;
    updateProgress(now);
    broadcastEntries(now, true);
}

// A leader without contact to a majority steps down, so that clients are not directed to a leader that cannot commit,
// and that no lease is used after it has expired (dissertation, 6.2).
void RaftNode::checkQuorum(core::TimePoint now)
{
    if (!isQuorum([&](const Member& it) { return isInContact(it, now); })) {
        becomeFollower(m_vote.term, {}, now);
        m_problem = "no contact to a majority of the controllers; restore the network or the other controllers";
    }
}

// A leader that has committed a membership in which it does not vote leaves the term to the others.
void RaftNode::stepDownIfNoVoter(core::TimePoint now)
{
    if (m_isLeaving || isSelfVoter() || !canChangeMembership())
        return;
    broadcastEntries(now, true);
    becomeFollower(m_vote.term, {}, now);
}

bool RaftNode::isInContact(const Member& member, core::TimePoint now) const
{
    const auto* progress = findProgress(member);
    return isSelf(member) || (progress && now - progress->lastContact < 2 * m_options.electionTimeout);
}

// True on the leader, and on a controller that received a message from the leader within the election timeout. Such a
// controller ignores vote requests, so that a removed or badly connected controller cannot disrupt the group
// (dissertation, 4.2.3).
bool RaftNode::hasLeaderContact(core::TimePoint now) const
{
    if (m_role == RaftRole::Leader)
        return true;
    return m_leader.isValid() && now - m_lastLeaderContact < m_options.electionTimeout;
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const VoteRequest& request, core::TimePoint now)
{
    if (!m_isDiskConfirmed || hasLeaderContact(now))
        return;
    // A controller that is a learner according to its own log also replies, because its log may lack the entry that
    // makes it a voter (dissertation, 4.1). The candidate counts only votes of voters with the disk in its membership.
    // The vote is granted only if the candidate's log is at least as up to date (ATC 2014, section 5.4.1).
    const bool isUpToDate = m_options.disabledRules.logComparison
        || std::pair { request.lastTerm, request.lastIndex } >= std::pair { m_log.lastTerm(), m_log.lastIndex() };
    if (request.preVote) {
        enqueue(from, VoteReply { true, message.term >= m_vote.term && isUpToDate });
        return;
    }
    if (message.term > m_vote.term)
        becomeFollower(message.term, {}, now);
    if (m_role == RaftRole::Halted)
        return;
    bool isGranted
        = message.term == m_vote.term && isUpToDate && (!m_vote.votedFor.isValid() || m_vote.votedFor == from);
    if (isGranted) {
        isGranted = saveVote({ m_vote.term, from });
        resetElectionTimer(now);
    }
    enqueue(from, VoteReply { false, isGranted });
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const VoteReply& reply, core::TimePoint now)
{
    if (message.term > m_vote.term) {
        becomeFollower(message.term, {}, now);
        return;
    }
    if (!reply.granted)
        return;
    if (reply.preVote ? m_role != RaftRole::PreCandidate : m_role != RaftRole::Candidate || message.term != m_vote.term)
        return;
    m_votes.insert_or_assign(from, message.disk);
    countVotes(now);
}

} // namespace ibisgw::configuration
