#include "support/ConfigurationChecks.h"

namespace support {

using namespace ibisgw;
using namespace ibisgw::configuration;

void ConfigurationChecks::controllerStarted(Machine machine)
{
    m_views[machine] = {};
}

void ConfigurationChecks::check(Machine machine, const ConfigurationService& service)
{
    auto& view = m_views[machine];
    const auto& raft = service.raft();
    if (raft.commitIndex() < view.commitIndex && raft.log().membership().group == 0) {
        // The controller found its disk outdated and started again without state.
        view = {};
        return;
    }
    checkLog(view, raft.log());
    checkLeader(machine, view, raft);
    checkCommitted(view, raft);
    checkRevisions(view, service);
}

void ConfigurationChecks::checkLeader(Machine machine, View& view, const RaftNode& raft)
{
    const bool isLeader = raft.role() == RaftRole::Leader;
    const bool isNew = isLeader && (!view.isLeader || view.term != raft.term());
    view.isLeader = isLeader;
    view.term = raft.term();
    if (!isNew)
        return;
    const auto term = raft.term();
    const std::pair leader { machine, raft.disk() };
    if (m_leaders.emplace(term, leader).first->second != leader)
        report(ViolationKind::TwoLeaders, "two leaders in term " + std::to_string(term));
    // Leader completeness (Ongaro and Ousterhout 2014, section 5.4.3).
    for (const auto& [index, entry] : m_committed) {
        if (entry.seenInTerm >= term || index <= raft.log().snapshot().index)
            continue;
        if (raft.log().termAt(index) != entry.term)
            report(ViolationKind::Lost,
                "the leader of term " + std::to_string(term) + " lacks entry " + std::to_string(index));
    }
}

void ConfigurationChecks::checkLog(View& view, const RaftLog& log)
{
    for (auto index = log.lastIndex(); index >= log.firstIndex() && index > 0; --index) {
        const auto& entry = log.at(index);
        auto& known = view.terms[index];
        if (known == entry.term)
            break;
        known = entry.term;
        const auto previousTerm = log.termAt(index - 1);
        if (!previousTerm)
            break;
        const auto& [seen, seenPreviousTerm]
            = m_entries.try_emplace({ index, entry.term }, entry, *previousTerm).first->second;
        if (seen != entry || seenPreviousTerm != *previousTerm)
            report(ViolationKind::LogMismatch, "entry " + std::to_string(index) + " differs between logs");
    }
}

void ConfigurationChecks::checkCommitted(View& view, const RaftNode& raft)
{
    while (view.commitIndex < raft.commitIndex()) {
        const auto index = ++view.commitIndex;
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

void ConfigurationChecks::checkRevisions(View& view, const ConfigurationService& service)
{
    const auto& newest = service.newestKnown();
    if (newest.revision < view.revision)
        report(ViolationKind::Reverted, "revision fell to " + std::to_string(newest.revision));
    if (newest.revision == view.revision)
        return;
    for (auto& it : service.revisionsSince(view.revision)) {
        const auto& known = m_revisions.try_emplace(it.revision, it).first->second;
        if (known != it)
            report(ViolationKind::Lost, "accepted revision " + std::to_string(it.revision) + " changed");
        const auto first = m_revisionOfSubmission.try_emplace(it.submission, it.revision).first->second;
        if (first != it.revision)
            report(ViolationKind::DoubleOutcome, "submission " + it.submission + " was accepted twice");
    }
    view.revision = newest.revision;
}

void ConfigurationChecks::answered(const Submission& submission, const SubmissionOutcome& outcome)
{
    if (!outcome.isFinal())
        return;
    const std::pair answer { outcome.kind, outcome.revision };
    if (m_answers.try_emplace(submission.id, answer).first->second != answer)
        report(ViolationKind::DoubleOutcome, "submission " + submission.id + " got two answers");
    if (outcome.kind == OutcomeKind::Accepted) {
        if (m_winners.try_emplace(submission.base, submission.id).first->second != submission.id)
            report(ViolationKind::RaceLost, "two changes of revision " + std::to_string(submission.base));
        if (outcome.revision != submission.base + 1)
            report(ViolationKind::RaceLost, "revision " + std::to_string(outcome.revision) + " has another base");
    } else if (const auto winner = m_revisions.find(outcome.revision); outcome.revision <= submission.base
               || winner == m_revisions.end() || winner->second.author != outcome.author) {
        report(ViolationKind::RaceLost, "the conflict of " + submission.id + " does not name the winner");
    }
}

void ConfigurationChecks::readAnswered(core::Revision floor, core::Revision revision)
{
    if (revision < floor)
        report(ViolationKind::Reverted,
            "a read gave revision " + std::to_string(revision) + " after " + std::to_string(floor) + " was accepted");
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
