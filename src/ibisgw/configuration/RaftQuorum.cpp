#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>

namespace ibisgw::configuration {

// Quorums of a group whose voters can lose their disks (docs/design/lost-disks.md). Elections, commits and reads use
// the same quorums. A voter whose disk is lost can neither vote nor acknowledge entries any more, but it cannot take
// part in another quorum either, so a quorum may include lostVoterAllowance() of them and still has a voter with its
// disk in common with every other quorum of the membership. Listed controllers are replaced by an operator, one at a
// time, so their quorums are majorities.
//
// Only losses that were known before the term began count in that term: otherwise a disk that has voted in a term could
// be left out of a second quorum of the same term.
//
// Until a membership is known to be committed, quorums are majorities of its voters with their disks, as in Raft. That
// is not enough if the membership that it replaces has quorums with a lost voter: such a quorum need not have a voter
// in common with a majority of the new membership. Then a quorum of both memberships is required, as in joint consensus
// (ATC 2014, section 6).
bool RaftNode::isQuorum(const Agreement& agrees) const
{
    const auto& newest = m_log.membership();
    const auto* replaced = membershipBeingReplaced();
    if (!replaced)
        return isQuorumOf(newest, agrees);
    if (lostVoterAllowance(*replaced) == 0 && countAgreeing(newest, agrees) >= newest.majority())
        return true;
    return isQuorumOf(newest, agrees) && isQuorumOf(*replaced, agrees);
}

bool RaftNode::isQuorumOf(const Membership& membership, const Agreement& agrees) const
{
    return countAgreeing(membership, agrees) + countLostVoters(membership) >= membership.majority();
}

std::size_t RaftNode::countAgreeing(const Membership& membership, const Agreement& agrees) const
{
    const auto counts = [&](const Member& it) {
        const bool mayVote = it.voter || m_options.disabledRules.learnerRestriction;
        return mayVote && !m_lostDisks.contains(it.controllerDisk()) && agrees(it);
    };
    return static_cast<std::size_t>(std::ranges::count_if(membership.members, counts));
}

std::size_t RaftNode::lostVoterAllowance(const Membership& membership) const
{
    return m_options.membershipMode == MembershipMode::Open ? membership.lostVoterAllowance() : 0;
}

// Number of voters with lost disks that quorums of the membership include.
std::size_t RaftNode::countLostVoters(const Membership& membership) const
{
    const auto isLost = [this](const Member& it) { return it.voter && m_lostDisks.contains(it.controllerDisk()); };
    const auto lost = static_cast<std::size_t>(std::ranges::count_if(membership.members, isLost));
    return std::min(lost, lostVoterAllowance(membership));
}

// The membership that the newest one replaces, until that one is known to be committed; null afterwards.
const Membership* RaftNode::membershipBeingReplaced() const
{
    return m_log.membershipIndex() > m_commitIndex ? m_log.previousMembership() : nullptr;
}

// The newest membership, and the one that it replaces while that one may still count in a quorum.
std::vector<const Membership*> RaftNode::membershipsInForce() const
{
    std::vector<const Membership*> memberships { &m_log.membership() };
    if (const auto* replaced = membershipBeingReplaced())
        memberships.push_back(replaced);
    return memberships;
}

std::set<core::NodeId> RaftNode::peersInForce() const
{
    std::set<core::NodeId> nodes;
    for (const auto* membership : membershipsInForce()) {
        for (const auto& it : membership->members)
            nodes.insert(it.node);
    }
    nodes.erase(m_options.self);
    return nodes;
}

// Whether the controller of the member has a vote with this disk.
bool RaftNode::hasVote(const Member& member, DiskIdentity disk) const
{
    const auto& disabled = m_options.disabledRules;
    return disabled.diskIdentity || disabled.learnerRestriction || (member.voter && member.disk == disk);
}

bool RaftNode::isSelf(const Member& member) const
{
    const auto& disabled = m_options.disabledRules;
    return member.node == m_options.self
        && (member.disk == m_disk || disabled.diskIdentity || disabled.learnerRestriction);
}

auto RaftNode::findProgress(const Member& member) const -> const Progress*
{
    const auto it = m_progress.find(member.node);
    if (it == m_progress.end())
        return nullptr;
    const bool isSameDisk = it->second.disk == member.disk || m_options.disabledRules.diskIdentity;
    return isSameDisk ? &it->second : nullptr;
}

void RaftNode::handle(core::NodeId from, const RaftMessage&, const DiskIdentityRequest& request, core::TimePoint)
{
    enqueue(from, DiskIdentityReply { request.nonce });
}

// A controller that replies from another disk than the member's has lost that disk: the reply was sent after the member
// had joined with it.
void RaftNode::handle(
    core::NodeId from, const RaftMessage& message, const DiskIdentityReply& reply, core::TimePoint now)
{
    const bool isExpected = m_role == RaftRole::PreCandidate && reply.nonce == m_diskIdentityNonce;
    if (!isExpected || m_options.disabledRules.diskIdentity)
        return;
    for (const auto* membership : membershipsInForce()) {
        const auto* member = membership->find(from);
        if (member && member->disk != message.disk)
            m_lostDisks.insert(member->controllerDisk());
    }
    countVotes(now);
}

} // namespace ibisgw::configuration
