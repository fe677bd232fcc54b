#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>

namespace ibisgw::configuration {

void RaftNode::beginLeave(core::TimePoint now)
{
    m_isLeaving = true;
    m_nextLeaveRequest = now;
    if (m_options.membershipMode != MembershipMode::Open)
        m_leaveOutcome = LeaveOutcome::Retained;
}

bool RaftNode::isLeaveComplete() const
{
    return m_leaveOutcome || m_log.membership().group == 0;
}

void RaftNode::sendLeaveRequest(core::TimePoint now)
{
    const bool isDue = m_isLeaving && !isLeaveComplete() && now >= m_nextLeaveRequest;
    if (!isDue || !m_leader.isValid() || m_role == RaftRole::Leader)
        return;
    m_nextLeaveRequest = now + m_options.heartbeatInterval / 2;
    enqueue(m_leader, LeaveRequest {});
}

// A leader removes itself as it removes others, leads until that is committed, and does not count itself meanwhile
// (dissertation, 4.2.2).
void RaftNode::leaveAsLeader(core::TimePoint now)
{
    if (!m_isLeaving || isLeaveComplete() || !canChangeMembership())
        return;
    const auto* self = m_log.membership().find(m_options.self);
    if (!self) {
        // Tells the others that the removal is committed.
        broadcastEntries(now, true);
        becomeFollower(m_vote.term, {}, now);
        m_leaveOutcome = LeaveOutcome::Removed;
    } else if (!self->voter || hasVoterToSpare()) {
        removeFromMembership(m_options.self, now);
    } else if (mustRetain(now)) {
        m_leaveOutcome = LeaveOutcome::Retained;
    }
}

// True if no learner is about to take the place of a voter that stops.
bool RaftNode::mustRetain(core::TimePoint now) const
{
    return std::ranges::none_of(
        m_log.membership().members, [&](const Member& it) { return isLearnerInContact(it, now); });
}

void RaftNode::handle(core::NodeId from, const RaftMessage& message, const LeaveRequest&, core::TimePoint now)
{
    if (m_role != RaftRole::Leader || m_options.membershipMode != MembershipMode::Open)
        return;
    const auto* member = m_log.membership().find(from);
    if (!member || member->disk != message.disk) {
        if (m_log.membershipIndex() <= m_commitIndex)
            enqueue(from, LeaveReply { LeaveOutcome::Removed });
        return;
    }
    m_progress.at(from).isStopping = true;
    // The sender repeats its request, and is answered once the removal is committed.
    if (!member->voter || hasVoterToSpare()) {
        if (canChangeMembership())
            removeFromMembership(from, now);
    } else if (mustRetain(now)) {
        enqueue(from, LeaveReply { LeaveOutcome::Retained });
    }
}

void RaftNode::handle(core::NodeId, const RaftMessage&, const LeaveReply& reply, core::TimePoint)
{
    if (m_isLeaving)
        m_leaveOutcome = reply.outcome;
}

} // namespace ibisgw::configuration
