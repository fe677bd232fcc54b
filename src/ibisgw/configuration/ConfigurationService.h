#pragma once

#include "ibisgw/configuration/RaftNode.h"
#include "ibisgw/configuration/ReplicatedConfiguration.h"

namespace ibisgw::configuration {

// State of one controller as reported to operators.
struct ConfigurationStatus {
    RaftRole role { RaftRole::CheckingDisk };
    Term term { 0 };
    // Invalid when no leader is known.
    core::NodeId leader;
    std::vector<core::NodeId> voters;
    std::vector<core::NodeId> learners;
    LogIndex commitIndex { 0 };
    LogIndex lastIndex { 0 };
    core::Revision revision { 0 };
    // True on a leader that accepts submissions.
    bool isAccepting { false };
    // Why this controller accepts no submissions and what the operator can do; empty otherwise.
    std::string problem;
};

// Configuration part of a daemon with the controller role: replicates the revisions through Raft and reports the
// outcomes of submissions.
class ConfigurationService {
public:
    ConfigurationService(RaftOptions, LogStore&, core::RandomSource&);

    // Loads the store; call once before anything else.
    core::Result<void> start(core::TimePoint now);
    void handleMessage(core::NodeId from, const RaftMessage&, core::TimePoint now, RaftOutput&);
    // Call at least ten times a second.
    void tick(core::TimePoint now, RaftOutput&);

    // Proposes a submission on the leader. The outcome is usually Unknown at first: poll outcomeOf() until it is
    // final. If it stays Unknown, submit again to the current leader with the same identifier.
    SubmissionOutcome submit(const Submission&, core::TimePoint now, RaftOutput&);
    SubmissionOutcome outcomeOf(const std::string& id) const;

    // Committed revisions after the given one, oldest first. Only the newest 128 revisions are kept.
    std::vector<AcceptedRevision> revisionsSince(core::Revision) const;
    std::optional<AcceptedRevision> findRevision(core::Revision) const;
    // Newest committed revision that this controller has applied. Stale while the controller is partitioned.
    const AcceptedRevision& newestCommitted() const { return m_state.history().current(); }

    // Starts a linearizable read: poll readState() until it is not Pending. Once it is Ready, newestCommitted() is at
    // least as new as every revision that was accepted before beginRead(). Empty when this controller is not a leader
    // that can serve reads.
    std::optional<ReadTicket> beginRead(core::TimePoint now, RaftOutput&);
    ReadState readState(const ReadTicket&) const;

    // Removes a controller that has failed permanently. Delete it from the settings of the other controllers first:
    // the leader admits every listed controller that sends a DiskCheckRequest.
    core::Result<void> removeController(core::NodeId, core::TimePoint now, RaftOutput&);

    ConfigurationStatus status() const;
    const RaftNode& raft() const { return m_raft; }

private:
    SubmissionOutcome notLeader() const;

    ReplicatedConfiguration m_state;
    RaftNode m_raft;
    // Identifiers of submissions that this controller has proposed as leader of m_pendingTerm and whose entries are
    // not applied yet.
    std::set<std::string> m_pendingSubmissions;
    Term m_pendingTerm { 0 };
};

} // namespace ibisgw::configuration
