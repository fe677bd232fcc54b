#include "ibisgw/configuration/ConfigurationService.h"

#include "ibisgw/configuration/DocumentCompression.h"

#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

namespace {

// Returns a discarded value when the text is malformed, or nested so deeply that the recursive serializer could
// exhaust the stack.
nlohmann::json parseDocument(const std::string& text)
{
    constexpr int maxDepth = 64;
    bool isTooDeep = false;
    const auto document = nlohmann::json::parse(
        text,
        [&isTooDeep](int depth, nlohmann::json::parse_event_t, nlohmann::json&) {
            isTooDeep = isTooDeep || depth > maxDepth;
            return !isTooDeep;
        },
        false);
    return isTooDeep ? nlohmann::json(nlohmann::json::value_t::discarded) : document;
}

} // namespace

ConfigurationService::ConfigurationService(RaftOptions options, LogStore& store, core::RandomSource& random)
    : m_state(!options.disabledRules.submissionIdentity)
    , m_raft(std::move(options), store, m_state, random)
{
}

core::Result<void> ConfigurationService::start(core::TimePoint now)
{
    return m_raft.start(now);
}

void ConfigurationService::handleMessage(
    core::NodeId from, const RaftMessage& message, core::TimePoint now, RaftOutput& output)
{
    m_raft.handleMessage(from, message, now, output);
}

void ConfigurationService::tick(core::TimePoint now, RaftOutput& output)
{
    m_raft.tick(now, output);
    std::erase_if(
        m_pendingSubmissions, [this](const std::string& id) { return m_state.submissions().find(id) != nullptr; });
}

SubmissionOutcome ConfigurationService::submit(const Submission& submission, core::TimePoint now, RaftOutput& output)
{
    const auto* known = m_state.submissions().find(submission.id);
    if (known && m_state.keepsFirstOutcome())
        return *known;
    if (!m_raft.isAccepting())
        return notLeader();
    const auto document = parseDocument(submission.document);
    if (document.is_discarded() || submission.id.empty())
        return { OutcomeKind::Invalid, 0, {}, {}, "the submission needs an identifier and a JSON document" };
    auto canonical = submission;
    canonical.document = document.dump();
    if (const auto problem = sizeProblemOf(canonical.document))
        return { OutcomeKind::Invalid, 0, {}, {}, "the document " + problem->message };
    if (m_pendingTerm != m_raft.term()) {
        m_pendingSubmissions.clear();
        m_pendingTerm = m_raft.term();
    }
    if (m_pendingSubmissions.insert(submission.id).second)
        m_raft.propose(m_state.encode(canonical), now, output);
    return outcomeOf(submission.id);
}

SubmissionOutcome ConfigurationService::outcomeOf(const std::string& id) const
{
    if (const auto* outcome = m_state.submissions().find(id))
        return *outcome;
    return { OutcomeKind::Unknown, 0, {}, m_raft.leader(),
        "not decided yet; query the identifier again, and submit again with it if the outcome stays unknown" };
}

std::vector<AcceptedRevision> ConfigurationService::revisionsSince(core::Revision revision) const
{
    return m_state.history().since(revision);
}

std::optional<AcceptedRevision> ConfigurationService::findRevision(core::Revision revision) const
{
    return m_state.history().find(revision);
}

std::optional<ReadTicket> ConfigurationService::beginRead(core::TimePoint now, RaftOutput& output)
{
    return m_raft.beginRead(now, output);
}

ReadState ConfigurationService::readState(const ReadTicket& ticket) const
{
    return m_raft.readState(ticket);
}

core::Result<void> ConfigurationService::removeController(core::NodeId node, core::TimePoint now, RaftOutput& output)
{
    return m_raft.removeMember(node, now, output);
}

ConfigurationStatus ConfigurationService::status() const
{
    ConfigurationStatus status { m_raft.role(), m_raft.term(), m_raft.leader(), {}, {}, m_raft.commitIndex(),
        m_raft.log().lastIndex(), newestCommitted().revision, m_raft.isAccepting(), m_raft.problem() };
    if (status.problem.empty() && !status.leader.isValid())
        status.problem
            = "no leader: nothing is accepted until a majority of the voters with intact disks is in contact";
    for (const auto& it : m_raft.log().membership().members)
        (it.voter ? status.voters : status.learners).push_back(it.node);
    return status;
}

SubmissionOutcome ConfigurationService::notLeader() const
{
    const auto leader = m_raft.leader();
    if (m_raft.role() == RaftRole::Leader)
        return { OutcomeKind::NotLeader, 0, {}, leader,
            "too few controllers have a vote; start the other controllers and submit again" };
    return { OutcomeKind::NotLeader, 0, {}, leader,
        !m_raft.problem().empty() ? m_raft.problem()
            : leader.isValid()    ? "submit to the leader " + leader.endpoint().toString()
                                  : "no leader is known; submit again in a few seconds" };
}

} // namespace ibisgw::configuration
