#include "ibisgw/configuration/ReplicatedConfiguration.h"

#include "ibisgw/configuration/DocumentPatch.h"

#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

using nlohmann::json;

namespace {

constexpr std::uint64_t stateVersion = 1;

std::string writeCbor(const json& input)
{
    std::string bytes;
    json::to_cbor(input, nlohmann::detail::output_adapter<char>(bytes));
    return bytes;
}

} // namespace

ReplicatedConfiguration::ReplicatedConfiguration(bool keepsFirstOutcome)
    : m_keepsFirstOutcome(keepsFirstOutcome)
{
}

std::string ReplicatedConfiguration::encode(const Submission& submission) const
{
    const auto& current = m_history.current();
    std::optional<std::string> patch;
    if (current.revision > 0 && submission.base == current.revision)
        patch = makeExactPatch(current.document, submission.document);
    return writeCbor(
        { submission.id, submission.author, submission.base, patch.has_value(), patch ? *patch : submission.document });
}

void ReplicatedConfiguration::apply(const std::string& command)
{
    const auto input = json::from_cbor(command, true, false);
    // encode() never produces a malformed command; if there is one, all controllers skip it alike.
    if (!input.is_array() || input.size() != 5 || !input[0].is_string() || !input[1].is_string()
        || !input[2].is_number_unsigned() || !input[3].is_boolean() || !input[4].is_string())
        return;
    Submission submission { input[0], input[1], input[2], input[4] };
    if (m_submissions.find(submission.id)) {
        if (m_keepsFirstOutcome)
            return;
        m_submissions.erase(submission.id);
    }
    const auto id = submission.id;
    m_submissions.record(id, decideSubmission(std::move(submission), input[3]));
}

SubmissionOutcome ReplicatedConfiguration::decideSubmission(Submission submission, bool isPatch)
{
    const auto& current = m_history.current();
    if (submission.base == current.revision) {
        // encode() makes patches only against the base, which is the current document here.
        auto document = isPatch ? applyPatch(current.document, submission.document) : std::move(submission.document);
        if (document) {
            const auto revision = current.revision + 1;
            const auto hash = hashDocument(*document);
            m_history.add(
                { revision, std::move(*document), hash, std::move(submission.author), std::move(submission.id) });
            return { OutcomeKind::Accepted, revision, {}, {}, {} };
        }
    }
    // The conflicting revision is the one that replaced the base.
    if (const auto* author = m_history.authorOf(submission.base + 1))
        return { OutcomeKind::Conflict, submission.base + 1, *author, {}, {} };
    return { OutcomeKind::Conflict, current.revision, current.author, {}, {} };
}

std::string ReplicatedConfiguration::takeSnapshot() const
{
    return writeCbor({ stateVersion, m_history.toJson(), m_submissions.toJson() });
}

core::Result<void> ReplicatedConfiguration::restore(const std::string& state)
{
    m_history = {};
    m_submissions = {};
    if (state.empty())
        return {};
    const auto input = json::from_cbor(state, true, false);
    if (input.is_array() && input.size() == 3 && input[0] == stateVersion && m_history.restore(input[1])
        && m_submissions.restore(input[2]))
        return {};
    return core::fail(core::ErrorKind::DataCorrupted,
        "the snapshot of the configuration is malformed or of another version; empty the data folder of this "
        "controller and restart it: it rejoins as a learner");
}

} // namespace ibisgw::configuration
