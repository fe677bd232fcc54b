#pragma once

#include "ibisgw/configuration/ConfigurationService.h"

#include <map>
#include <set>
#include <string>

namespace support {

enum class ViolationKind : std::uint8_t {
    TwoLeaders, // two leaders in one term
    LogMismatch, // two logs have an entry of equal index and term, but the entries or their predecessors differ
    Lost, // a committed entry or accepted revision is missing or changed
    Reverted, // the committed revision of a running controller decreased, or a linearizable read was stale
    DoubleOutcome, // one submission identifier with two outcomes
    LostUpdate, // two changes with the same base revision were accepted, or an outcome contradicts its base revision
};

// Checks the safety properties of Raft and of the configuration service: after each step of a controller its state is
// compared with all states observed before. Violations are counted by kind.
class ConfigurationChecks {
public:
    using Machine = std::uint64_t;

    // Discards the observed state of a controller whose process starts, as its volatile state may be older.
    void recordStart(Machine);
    // Compares the state of a running controller, after a step, with all states observed before.
    void check(Machine, const ibisgw::configuration::ConfigurationService&);
    // Checks the outcome that an operator received for a submission. Outcomes that are not final are ignored.
    void recordOutcome(const ibisgw::configuration::Submission&, const ibisgw::configuration::SubmissionOutcome&);
    // Checks the result of a linearizable read. `newestAtStart` is the newest accepted revision when the read began;
    // the read must not return an older one.
    void recordRead(ibisgw::core::Revision newestAtStart, ibisgw::core::Revision revision);

    // Newest accepted revision observed on any controller; 0 if there is none.
    ibisgw::core::Revision newestAccepted() const;
    // Newest committed membership observed on any controller.
    const ibisgw::configuration::Membership& committedMembership() const { return m_committedMembership; }
    const std::map<ViolationKind, std::size_t>& violations() const { return m_violations; }
    const std::string& firstViolation() const { return m_firstViolation; }
    std::size_t count(ViolationKind) const;

private:
    struct CommittedEntry {
        ibisgw::configuration::Term term { 0 };
        // Current term of the first controller on which the entry was observed as committed.
        ibisgw::configuration::Term observedInTerm { 0 };
    };
    // State of a controller at its last check.
    struct ObservedState {
        ibisgw::configuration::Term term { 0 };
        bool isLeader { false };
        ibisgw::configuration::LogIndex commitIndex { 0 };
        ibisgw::core::Revision revision { 0 };
        std::map<ibisgw::configuration::LogIndex, ibisgw::configuration::Term> terms;
    };

    void report(ViolationKind, std::string);
    void checkLeader(Machine, ObservedState&, const ibisgw::configuration::RaftNode&);
    void checkLog(ObservedState&, const ibisgw::configuration::RaftLog&);
    void checkCommitted(ObservedState&, const ibisgw::configuration::RaftNode&);
    void checkRevisions(ObservedState&, const ibisgw::configuration::ConfigurationService&);

    std::map<Machine, ObservedState> m_observed;
    // Machine and disk identity of the leader, by term.
    std::map<ibisgw::configuration::Term, std::pair<Machine, ibisgw::configuration::DiskIdentity>> m_leaders;
    // Each entry with the term of its predecessor, by index and term of the entry.
    std::map<std::pair<ibisgw::configuration::LogIndex, ibisgw::configuration::Term>,
        std::pair<ibisgw::configuration::LogEntry, ibisgw::configuration::Term>>
        m_entries;
    std::map<ibisgw::configuration::LogIndex, CommittedEntry> m_committed;
    std::map<ibisgw::core::Revision, ibisgw::configuration::AcceptedRevision> m_revisions;
    // Accepted revision by submission identifier.
    std::map<std::string, ibisgw::core::Revision> m_revisionOfSubmission;
    // First final outcome that was reported, by submission identifier.
    std::map<std::string, std::pair<ibisgw::configuration::OutcomeKind, ibisgw::core::Revision>> m_outcomes;
    // Identifier of the submission that was accepted, by its base revision.
    std::map<ibisgw::core::Revision, std::string> m_acceptedByBase;
    ibisgw::configuration::LogIndex m_committedMembershipIndex { 0 };
    ibisgw::configuration::Membership m_committedMembership;
    std::map<ViolationKind, std::size_t> m_violations;
    std::string m_firstViolation;
};

} // namespace support
