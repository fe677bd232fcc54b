#pragma once

#include "ibisgw/configuration/RaftNode.h"
#include "ibisgw/configuration/ReplicatedConfiguration.h"

namespace ibisgw::configuration {

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
    // True on a leader that takes submissions.
    bool accepting { false };
    // Why nothing is accepted here and what to do; empty otherwise.
    std::string problem;
};

// What a daemon with the controller role runs: agreement on revisions and answers to submissions.
class ConfigurationService {
public:
    ConfigurationService(RaftOptions, LogStore&, core::RandomSource&);

    // Loads the store; call once before anything else.
    core::Result<void> start(core::TimePoint now);
    void handleMessage(core::NodeId from, const RaftMessage&, core::TimePoint now, RaftOutput&);
    // Call at least ten times a second.
    void tick(core::TimePoint now, RaftOutput&);

    // The outcome is usually Unknown at first: ask outcomeOf() until it is final, and submit again
    // with the same identifier, to the leader of then, when it stays unknown.
    SubmissionOutcome submit(const Submission&, core::TimePoint now, RaftOutput&);
    SubmissionOutcome outcomeOf(const std::string& id) const;

    // Committed revisions after the given one, oldest first, as far as they are kept (128).
    std::vector<AcceptedRevision> revisionsSince(core::Revision) const;
    std::optional<AcceptedRevision> findRevision(core::Revision) const;
    // Newest revision that this controller knows to be committed; may be old when it is cut off.
    const AcceptedRevision& newestKnown() const { return m_state.history().current(); }

    // Linearizable read: begin it, then ask until the state is not Pending. When it is Ready,
    // newestKnown() is at least as new as every revision accepted before beginRead(). Empty
    // when this controller is not a leader that can answer.
    std::optional<ReadTicket> beginRead(core::TimePoint now, RaftOutput&);
    ReadState readState(const ReadTicket&) const;

    // Removes a controller that is gone for good; remove it from the settings of the others first.
    core::Result<void> removeController(core::NodeId, core::TimePoint now, RaftOutput&);

    ConfigurationStatus status() const;
    const RaftNode& raft() const { return m_raft; }

private:
    SubmissionOutcome notLeader() const;

    ReplicatedConfiguration m_state;
    RaftNode m_raft;
    // Submissions in the log of the own term whose outcome is not known yet.
    std::set<std::string> m_pending;
    Term m_pendingTerm { 0 };
};

} // namespace ibisgw::configuration
