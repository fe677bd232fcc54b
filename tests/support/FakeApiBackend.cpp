#include "support/FakeApiBackend.h"

#include <algorithm>
#include <utility>

namespace support {

using namespace ibisgw;
using namespace ibisgw::adapters;

void FakeApiBackend::accept(const std::string& document, const std::string& submission)
{
    revisions.push_back(
        { revisions.size() + 1, document, configuration::hashDocument(document), "author", submission });
}

void FakeApiBackend::submit(const ApiSubmission& submission, Completion<SubmissionAnswer> complete)
{
    submissions.push_back(submission);
    if (holdsSubmissions) {
        heldSubmissions.push_back(std::move(complete));
        return;
    }
    if (nextAnswer) {
        complete(*std::exchange(nextAnswer, std::nullopt));
        return;
    }
    if (submission.base != revisions.size()) {
        complete(SubmissionAnswer { SubmissionOutcome::Conflict, revisions.size(), {} });
        return;
    }
    accept(submission.text, submission.identifier);
    complete(SubmissionAnswer { SubmissionOutcome::Accepted, revisions.size(), {} });
}

void FakeApiBackend::findSubmission(const std::string& identifier, Completion<SubmissionAnswer> complete)
{
    const auto it = std::ranges::find(revisions, identifier, &configuration::AcceptedRevision::submission);
    if (it == revisions.end())
        complete(core::Error { core::ErrorKind::NotFound, "no such submission; check the identifier" });
    else
        complete(SubmissionAnswer { SubmissionOutcome::Accepted, it->revision, {} });
}

void FakeApiBackend::documentInForce(Completion<configuration::AcceptedRevision> complete)
{
    const auto count = revisions.size() - std::min(revisions.size(), revisionsNotInForce);
    complete(count == 0 ? configuration::AcceptedRevision {} : revisions[count - 1]);
}

void FakeApiBackend::newestDocument(Completion<configuration::AcceptedRevision> complete)
{
    complete(revisions.empty() ? configuration::AcceptedRevision {} : revisions.back());
}

void FakeApiBackend::documentAt(core::Revision revision, Completion<configuration::AcceptedRevision> complete)
{
    if (revision == 0 || revision > revisions.size())
        complete(core::Error { core::ErrorKind::NotFound, "no such revision; list them" });
    else
        complete(revisions[revision - 1]);
}

void FakeApiBackend::history(std::size_t limit, Completion<std::vector<HistoryEntry>> complete)
{
    std::vector<HistoryEntry> entries;
    for (auto it = revisions.rbegin(); it != revisions.rend() && entries.size() < limit; ++it)
        entries.push_back({ it->revision, it->author, it->submission, it->hash });
    complete(entries);
}

void FakeApiBackend::status(Completion<SystemStatus> complete)
{
    complete(systemStatus);
}

void FakeApiBackend::upstreams(Completion<std::vector<UpstreamStatus>> complete)
{
    complete(knownUpstreams);
}

void FakeApiBackend::flowCounts(Completion<std::vector<FlowCount>> complete)
{
    std::vector<FlowCount> counts;
    for (const auto& it : knownUpstreams)
        counts.push_back({ it.service, it.address, it.openFlows });
    complete(counts);
}

void FakeApiBackend::findFlow(core::Endpoint, core::Endpoint, Completion<FlowLocation> complete)
{
    complete(FlowLocation { knownUpstreams.at(0).service, knownUpstreams.at(0).address, "table" });
}

void FakeApiBackend::drainUpstream(core::Endpoint address, Completion<std::monostate> complete)
{
    drained.push_back(address.toString());
    complete(std::monostate {});
}

void FakeApiBackend::drainBalancer(const std::string& name, Completion<std::monostate> complete)
{
    drained.push_back(name);
    complete(std::monostate {});
}

void FakeApiBackend::findSpans(const std::string&, Completion<std::vector<Span>> complete)
{
    complete(spans);
}

std::string FakeApiBackend::metrics()
{
    return metricsText;
}

std::string FakeApiBackend::unhealthyReason()
{
    return {};
}

} // namespace support
