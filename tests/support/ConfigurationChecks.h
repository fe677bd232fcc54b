#pragma once

#include "ibisgw/configuration/ConfigurationService.h"

#include <map>
#include <set>
#include <string>

namespace support {

enum class ViolationKind : std::uint8_t {
    TwoLeaders, // in one term
    LogMismatch, // equal index and term, but another entry or another predecessor
    Lost, // a committed entry or accepted revision is missing or changed
    Reverted, // the committed revision of a running controller fell, or a read was old
    DoubleOutcome, // one submission identifier with two outcomes
    RaceLost, // two changes from one base were accepted
};

// Compares the states of controllers after every step with everything seen before.
class ConfigurationChecks {
public:
    using Machine = std::uint64_t;

    void controllerStarted(Machine);
    void check(Machine, const ibisgw::configuration::ConfigurationService&);
    // An operator got an answer.
    void answered(const ibisgw::configuration::Submission&, const ibisgw::configuration::SubmissionOutcome&);
    // A linearizable read that began when `floor` was the newest accepted revision gave `revision`.
    void readAnswered(ibisgw::core::Revision floor, ibisgw::core::Revision revision);

    // Newest accepted revision that any controller has shown.
    ibisgw::core::Revision newestAccepted() const;
    // Newest committed membership that any controller has shown.
    const ibisgw::configuration::Membership& committedMembership() const { return m_committedMembership; }
    const std::map<ViolationKind, std::size_t>& violations() const { return m_violations; }
    const std::string& firstViolation() const { return m_firstViolation; }
    std::size_t count(ViolationKind) const;

private:
    struct CommittedEntry {
        ibisgw::configuration::Term term { 0 };
        // Term of the controller that was seen first with the entry committed.
        ibisgw::configuration::Term seenInTerm { 0 };
    };
    struct View {
        ibisgw::configuration::Term term { 0 };
        bool isLeader { false };
        ibisgw::configuration::LogIndex commitIndex { 0 };
        ibisgw::core::Revision revision { 0 };
        std::map<ibisgw::configuration::LogIndex, ibisgw::configuration::Term> terms;
    };

    void report(ViolationKind, std::string);
    void checkLeader(Machine, View&, const ibisgw::configuration::RaftNode&);
    void checkLog(View&, const ibisgw::configuration::RaftLog&);
    void checkCommitted(View&, const ibisgw::configuration::RaftNode&);
    void checkRevisions(View&, const ibisgw::configuration::ConfigurationService&);

    std::map<Machine, View> m_views;
    // Machine and disk of the leader of each term.
    std::map<ibisgw::configuration::Term, std::pair<Machine, ibisgw::configuration::DiskIdentity>> m_leaders;
    // Entry and term of its predecessor, by index and term.
    std::map<std::pair<ibisgw::configuration::LogIndex, ibisgw::configuration::Term>,
        std::pair<ibisgw::configuration::LogEntry, ibisgw::configuration::Term>>
        m_entries;
    std::map<ibisgw::configuration::LogIndex, CommittedEntry> m_committed;
    std::map<ibisgw::core::Revision, ibisgw::configuration::AcceptedRevision> m_revisions;
    std::map<std::string, ibisgw::core::Revision> m_revisionOfSubmission;
    std::map<std::string, std::pair<ibisgw::configuration::OutcomeKind, ibisgw::core::Revision>> m_answers;
    std::map<ibisgw::core::Revision, std::string> m_winners;
    ibisgw::configuration::LogIndex m_committedMembershipIndex { 0 };
    ibisgw::configuration::Membership m_committedMembership;
    std::map<ViolationKind, std::size_t> m_violations;
    std::string m_firstViolation;
};

} // namespace support
