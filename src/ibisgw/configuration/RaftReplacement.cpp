#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>

namespace ibisgw::configuration {

// Makes one learner a voter once its durable log holds every committed entry (dissertation, 4.2.1).
void RaftNode::promoteLearners(core::TimePoint now)
{
    recordStart(ownStart(), now);
    if (!canChangeMembership())
        return;
    for (const auto& it : m_log.membership().members) {
        const auto progress = m_progress.find(it.node);
        if (!isLearnerInContact(it, now) || progress->second.matchIndex < m_commitIndex || !mayVote(it, now))
            continue;
        setVoter(it.node, true, now);
        return;
    }
}

// A controller that others have replaced votes only while too few voters are in contact. For the limit maxVoters,
// neither replaced voters nor silent ones are counted: the former are demoted once their successors vote, and with the
// latter a group that has lost one of maxVoters voters could neither remove it nor promote its replacement.
bool RaftNode::mayVote(const Member& learner, core::TimePoint now) const
{
    if (m_log.membership().isReplaced(learner))
        return votersInContact(now) < intendedVoterCount();
    auto promoted = m_log.membership();
    promoted.setVoter(learner.node, true);
    const auto counts
        = [&](const Member& it) { return it.voter && !promoted.isReplaced(it) && !isSilent(it.node, now); };
    return static_cast<std::size_t>(std::ranges::count_if(promoted.members, counts)) <= m_options.maxVoters;
}

// Number of voters that suffices: as many as there were controllers at the first start, and 2f + 1 at least.
std::size_t RaftNode::intendedVoterCount() const
{
    return std::max(m_log.membership().initialControllerCount(), 2 * m_options.toleratedDiskLosses + 1);
}

// Number of voters that are in contact with the leader. Silent voters may have failed permanently.
std::size_t RaftNode::votersInContact(core::TimePoint now) const
{
    return static_cast<std::size_t>(std::ranges::count_if(
        m_log.membership().members, [&](const Member& it) { return it.voter && !isSilent(it.node, now); }));
}

bool RaftNode::isLearnerInContact(const Member& member, core::TimePoint now) const
{
    const auto progress = m_progress.find(member.node);
    return !member.voter && progress != m_progress.end() && !progress->second.isStopping
        && now - progress->second.lastContact <= m_options.electionTimeout;
}

// A replaced controller may be gone at any moment without notice, and all of them at once, so none of them may be
// needed for a quorum (docs/design/controller-replacement.md). A leader does not demote itself: one voter more leaves a
// quorum without it too.
void RaftNode::demoteReplacedVoters(core::TimePoint now)
{
    const auto& membership = m_log.membership();
    if (m_options.membershipMode != MembershipMode::Open || !canChangeMembership())
        return;
    if (membership.voterCount() <= intendedVoterCount())
        return;
    for (const auto& it : membership.members) {
        const bool isReplaced = it.voter && it.node != m_options.self && membership.isReplaced(it);
        if (!isReplaced || !hasMajorityInContactWithout(it.node, now))
            continue;
        setVoter(it.node, false, now);
        return;
    }
}

// Whether the other voters could commit the removal of this one and every entry after it.
bool RaftNode::hasMajorityInContactWithout(core::NodeId node, core::TimePoint now) const
{
    auto others = m_log.membership();
    others.setVoter(node, false);
    const auto inContact
        = std::ranges::count_if(others.members, [&](const Member& it) { return it.voter && isInContact(it, now); });
    return static_cast<std::size_t>(inContact) >= others.majority();
}

} // namespace ibisgw::configuration
