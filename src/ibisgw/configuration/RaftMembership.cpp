#include "ibisgw/configuration/RaftNode.h"

#include <algorithm>

namespace ibisgw::configuration {

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

// Creates a group with this controller as its only voter; the others join one at a time (dissertation, 4.1). Called
// only after all listed controllers have replied that they belong to no group, so that no second group is created.
void RaftNode::bootstrapGroup(core::TimePoint now)
{
    Membership membership { .group = m_disk };
    membership.admit(ownStart(), true);
    membership.setVoter(m_options.self, true);
    if (!saveVote({ std::max<Term>(m_vote.term, 1), m_vote.votedFor }))
        return;
    if (!appendToLog({ LogEntry { m_vote.term, EntryKind::Membership, {}, std::move(membership) } }))
        return;
    m_isDiskConfirmed = true;
    becomeFollower(m_vote.term, {}, now);
    m_electionDeadline = now;
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
    const Member start { .node = node,
        .disk = message.disk,
        .generation = message.generation,
        .startNonce = request.startNonce,
        .zone = request.zone };
    if (member && (member->disk == message.disk || m_options.disabledRules.diskIdentity)) {
        auto& progress = m_progress.at(node);
        if (progress.generation != message.generation) {
            const auto nextIndex = m_log.lastIndex() + 1;
            progress = Progress { .disk = message.disk, .nextIndex = nextIndex, .generation = message.generation };
            progress.lastContact = now;
        }
        recordStart(start, now);
        return;
    }
    if (!canChangeMembership())
        return;
    auto membership = m_log.membership();
    membership.admit(start, request.isFirstStart);
    changeMembership(std::move(membership), now);
}

Member RaftNode::ownStart() const
{
    return { .node = m_options.self,
        .disk = m_disk,
        .generation = m_generation,
        .startNonce = m_startNonce,
        .zone = m_options.zone };
}

// Records the start of a member in the log, so that the record survives a restart of all controllers. Does not change
// the set of voters.
void RaftNode::recordStart(const Member& start, core::TimePoint now)
{
    const auto* known = m_log.membership().find(start.node);
    if (!canChangeMembership() || !known || known->disk != start.disk || known->generation >= start.generation)
        return;
    auto member = start;
    member.voter = known->voter;
    member.admission = known->admission;
    auto membership = m_log.membership();
    membership.put(member);
    changeMembership(std::move(membership), now);
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

bool RaftNode::hasAnnouncedStop(core::NodeId node) const
{
    const auto progress = m_progress.find(node);
    return progress != m_progress.end() && progress->second.isStopping;
}

// With an open membership no operator reports that a controller has failed permanently, so the leader removes members
// that are silent for the removal timeout. A controller that was only partitioned rejoins as a learner.
void RaftNode::removeSilentMembers(core::TimePoint now)
{
    if (m_options.membershipMode != MembershipMode::Open || !canChangeMembership())
        return;
    for (const auto& it : m_log.membership().members) {
        if (!isSilent(it.node, now) || (it.voter && !hasVoterToSpare()))
            continue;
        auto membership = m_log.membership();
        if (hasAnnouncedStop(it.node))
            membership.remove(it.node);
        else
            membership.removeAsAbsent(it.node);
        changeMembership(std::move(membership), now);
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

void RaftNode::setVoter(core::NodeId node, bool isVoter, core::TimePoint now)
{
    auto membership = m_log.membership();
    membership.setVoter(node, isVoter);
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

} // namespace ibisgw::configuration
