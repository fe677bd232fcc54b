#include "ibisgw/configuration/RaftNode.h"

namespace ibisgw::configuration {

// Random timeouts avoid split votes (ATC 2014, section 5.2).
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

// Pre-vote (dissertation, 9.6): a controller raises its term only after a majority has promised its
// votes, so one that was cut off does not depose a working leader on its return.
void RaftNode::startElection(bool preVote, core::TimePoint now)
{
    if (!preVote && !saveVote({ m_vote.term + 1, m_options.self }))
        return;
    m_role = preVote ? RaftRole::PreCandidate : RaftRole::Candidate;
    m_leader = {};
    m_votes = { m_options.self };
    // Another attempt follows sooner than the first: a peer may have heard the old leader one
    // heartbeat later, or two candidates have split the votes.
    const auto spread = static_cast<std::uint64_t>(m_options.heartbeatInterval.count());
    m_electionDeadline = now + m_options.heartbeatInterval / 2 + core::Duration(m_random.below(spread));
    for (const auto& it : m_log.membership().members) {
        if (it.node != m_options.self)
            post(it.node, VoteRequest { preVote, m_log.lastIndex(), m_log.lastTerm() });
    }
    countVotes(now);
}

void RaftNode::countVotes(core::TimePoint now)
{
    if (m_votes.size() < m_log.membership().majority())
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
    m_firstOwnIndex = m_log.lastIndex() + 1;
    // Entries of earlier terms are committed through this one (ATC 2014, section 8).
    if (!appendToLog({ LogEntry { m_vote.term, EntryKind::NoOperation, {}, {} } }))
        return;
    syncProgress(now);
    broadcastEntries(now, true);
}

// A leader without contact to a majority steps down, so that clients are not told to wait for
// it and it does not count on a lease that has run out (dissertation, 6.2).
void RaftNode::checkQuorum(core::TimePoint now)
{
    std::size_t active = isSelfVoter() ? 1 : 0;
    for (const auto& [node, progress] : m_progress) {
        const auto* member = m_log.membership().find(node);
        if (member && member->voter && now - progress.lastContact < 2 * m_options.electionTimeout)
            ++active;
    }
    if (active < m_log.membership().majority()) {
        becomeFollower(m_vote.term, {}, now);
        m_problem = "no contact to a majority of the controllers; restore the network or the other controllers";
    }
}

// While a leader is in contact, requests for votes are ignored: a removed or badly connected
// controller cannot disturb the group (dissertation, 4.2.3).
bool RaftNode::hearsLeader(core::TimePoint now) const
{
    if (m_role == RaftRole::Leader)
        return true;
    return m_leader.isValid() && now - m_lastLeaderContact < m_options.electionTimeout;
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const VoteRequest& request, core::TimePoint now)
{
    if (!m_diskConfirmed || hearsLeader(now))
        return;
    // Answers even if it is a learner by its own log: the entry that gave it the vote may be missing
    // there (dissertation, 4.1). The candidate counts the votes of its voters and their disks only.
    // Only a log that is at least as complete gets a vote (ATC 2014, section 5.4.1).
    const bool isComplete = m_options.disabledRules.logComparison
        || std::pair { request.lastTerm, request.lastIndex } >= std::pair { m_log.lastTerm(), m_log.lastIndex() };
    if (request.preVote) {
        post(from, VoteReply { true, message.term >= m_vote.term && isComplete });
        return;
    }
    if (message.term > m_vote.term)
        becomeFollower(message.term, {}, now);
    if (m_role == RaftRole::Halted)
        return;
    bool isGranted
        = message.term == m_vote.term && isComplete && (!m_vote.votedFor.isValid() || m_vote.votedFor == from);
    if (isGranted) {
        isGranted = saveVote({ m_vote.term, from });
        resetElectionTimer(now);
    }
    post(from, VoteReply { false, isGranted });
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const VoteReply& reply, core::TimePoint now)
{
    if (message.term > m_vote.term) {
        becomeFollower(message.term, {}, now);
        return;
    }
    const auto* member = m_log.membership().find(from);
    const auto& disabled = m_options.disabledRules;
    // The vote of a disk that is not the voter's is not counted: the voter may have promised its
    // vote to another candidate and forgotten it.
    const bool counts = member && (member->voter || disabled.learnerRestriction)
        && (member->disk == message.disk || disabled.diskIdentity);
    if (!counts || !reply.granted)
        return;
    if (reply.preVote ? m_role != RaftRole::PreCandidate : m_role != RaftRole::Candidate || message.term != m_vote.term)
        return;
    m_votes.insert(from);
    countVotes(now);
}

} // namespace ibisgw::configuration
