#include "support/ConfigurationChecks.h"

namespace support {

using namespace ibisgw;
using namespace ibisgw::configuration;

void ConfigurationChecks::recordStart(Machine machine)
{
    m_observed[machine] = {};
}

void ConfigurationChecks::check(Machine machine, const ConfigurationService& service)
{
    auto& observed = m_observed[machine];
    const auto& raft = service.raft();
    if (raft.commitIndex() < observed.commitIndex && raft.log().membership().group == 0) {
        // The controller found that its disk is outdated and has restarted with an empty state.
        observed = {};
        return;
    }
    checkLog(observed, raft.log());
    checkLeader(machine, observed, raft);
    checkCommitted(observed, raft);
    checkRevisions(observed, service);
}

void ConfigurationChecks::checkLeader(Machine machine, ObservedState& observed, const RaftNode& raft)
{
    const bool isLeader = raft.role() == RaftRole::Leader;
    const bool isNew = isLeader && (!observed.isLeader || observed.term != raft.term());
    observed.isLeader = isLeader;
    observed.term = raft.term();
    if (!isNew)
        return;
    const auto term = raft.term();
    const std::pair leader { machine, raft.disk() };
    if (m_leaders.emplace(term, leader).first->second != leader)
        report(ViolationKind::TwoLeaders, "two leaders in term " + std::to_string(term));
    // Leader completeness (Ongaro and Ousterhout 2014, section 5.4.3).
    for (const auto& [index, entry] : m_committed) {
        if (entry.observedInTerm >= term || index <= raft.log().snapshot().index)
            continue;
        if (raft.log().termAt(index) != entry.term)
            report(ViolationKind::Lost,
                "the leader of term " + std::to_string(term) + " lacks entry " + std::to_string(index));
    }
}

void ConfigurationChecks::checkLog(ObservedState& observed, const RaftLog& log)
{
    for (auto index = log.lastIndex(); index >= log.firstIndex() && index > 0; --index) {
        const auto& entry = log.at(index);
        auto& observedTerm = observed.terms[index];
        // The entries before this one were compared at an earlier check.
        if (observedTerm == entry.term)
            break;
        observedTerm = entry.term;
        const auto previousTerm = log.termAt(index - 1);
        if (!previousTerm)
            break;
        const auto& [recordedEntry, recordedPreviousTerm]
            = m_entries.try_emplace({ index, entry.term }, entry, *previousTerm).first->second;
        if (recordedEntry != entry || recordedPreviousTerm != *previousTerm)
            report(ViolationKind::LogMismatch, "entry " + std::to_string(index) + " differs between logs");
    }
}

void ConfigurationChecks::checkCommitted(ObservedState& observed, const RaftNode& raft)
{
    while (observed.commitIndex < raft.commitIndex()) {
        const auto index = ++observed.commitIndex;
        const auto term = raft.log().termAt(index);
        if (!term || index < raft.log().firstIndex())
            continue;
        const auto& committed = m_committed.try_emplace(index, CommittedEntry { *term, raft.term() }).first->second;
        if (committed.term != *term)
            report(ViolationKind::Lost, "committed entry " + std::to_string(index) + " was replaced");
        const auto& entry = raft.log().at(index);
        if (entry.kind == EntryKind::Membership && index > m_committedMembershipIndex) {
            m_committedMembershipIndex = index;
            m_committedMembership = entry.membership;
        }
    }
}

void ConfigurationChecks::checkRevisions(ObservedState& observed, const ConfigurationService& service)
{
    const auto& newest = service.newestCommitted();
    if (newest.revision < observed.revision)
        report(ViolationKind::Reverted, "the committed revision decreased to " + std::to_string(newest.revision));
    if (newest.revision == observed.revision)
        return;
    for (auto& it : service.revisionsSince(observed.revision)) {
        const auto& recorded = m_revisions.try_emplace(it.revision, it).first->second;
        if (recorded != it)
            report(ViolationKind::Lost, "accepted revision " + std::to_string(it.revision) + " changed");
        const auto first = m_revisionOfSubmission.try_emplace(it.submission, it.revision).first->second;
        if (first != it.revision)
            report(ViolationKind::DoubleOutcome, "submission " + it.submission + " was accepted twice");
    }
    observed.revision = newest.revision;
}

void ConfigurationChecks::recordOutcome(const Submission& submission, const SubmissionOutcome& outcome)
{
    if (!outcome.isFinal())
        return;
    const std::pair answer { outcome.kind, outcome.revision };
    if (m_outcomes.try_emplace(submission.id, answer).first->second != answer)
        report(ViolationKind::DoubleOutcome, "submission " + submission.id + " has two outcomes");
    if (outcome.kind == OutcomeKind::Accepted) {
        if (m_acceptedByBase.try_emplace(submission.base, submission.id).first->second != submission.id)
            report(ViolationKind::LostUpdate,
                "two changes were accepted on base revision " + std::to_string(submission.base));
        if (outcome.revision != submission.base + 1)
            report(ViolationKind::LostUpdate,
                "revision " + std::to_string(outcome.revision) + " does not follow its base revision");
    } else if (const auto accepted = m_revisions.find(outcome.revision); outcome.revision <= submission.base
               || accepted == m_revisions.end() || accepted->second.author != outcome.author) {
        report(ViolationKind::LostUpdate,
            "the conflict reported for " + submission.id + " does not name the accepted change");
    }
}

void ConfigurationChecks::recordRead(core::Revision newestAtStart, core::Revision revision)
{
    if (revision < newestAtStart)
        report(ViolationKind::Reverted,
            "a read returned revision " + std::to_string(revision) + " after " + std::to_string(newestAtStart)
                + " had been accepted");
}

core::Revision ConfigurationChecks::newestAccepted() const
{
    return m_revisions.empty() ? 0 : m_revisions.rbegin()->first;
}

std::size_t ConfigurationChecks::count(ViolationKind kind) const
{
    const auto it = m_violations.find(kind);
    return it == m_violations.end() ? 0 : it->second;
}

void ConfigurationChecks::report(ViolationKind kind, std::string what)
{
    ++m_violations[kind];
    if (m_firstViolation.empty())
        m_firstViolation = std::move(what);
}

} // namespace support
