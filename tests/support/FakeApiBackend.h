#pragma once

#include "ibisgw/adapters/ApiBackend.h"

#include <optional>
#include <vector>

namespace support {

// ApiBackend that keeps revisions in memory and completes each call at once. With `holdsSubmissions` it collects the
// completions of submissions in `heldSubmissions` instead, for tests that complete them later or never.
class FakeApiBackend final : public ibisgw::adapters::ApiBackend {
public:
    std::vector<ibisgw::configuration::AcceptedRevision> revisions;
    std::vector<ibisgw::adapters::ApiSubmission> submissions;
    std::vector<ibisgw::adapters::Completion<ibisgw::adapters::SubmissionAnswer>> heldSubmissions;
    std::vector<ibisgw::adapters::UpstreamStatus> knownUpstreams;
    std::vector<ibisgw::adapters::Span> spans;
    ibisgw::adapters::SystemStatus systemStatus;
    // Addresses of upstreams and names of balancers that were drained.
    std::vector<std::string> drained;
    std::string metricsText { "ibisgw_flows_open 3\n" };
    bool holdsSubmissions { false };
    // Number of newest revisions that are accepted but not in force at this daemon yet.
    std::size_t revisionsNotInForce { 0 };
    // Answer to the next submission instead of the usual one.
    std::optional<ibisgw::adapters::SubmissionAnswer> nextAnswer;

    // Appends a revision with this document, as if the submission had been accepted.
    void accept(const std::string& document, const std::string& submission);

    void submit(const ibisgw::adapters::ApiSubmission&,
        ibisgw::adapters::Completion<ibisgw::adapters::SubmissionAnswer>) override;
    void findSubmission(const std::string&, ibisgw::adapters::Completion<ibisgw::adapters::SubmissionAnswer>) override;
    void documentInForce(ibisgw::adapters::Completion<ibisgw::configuration::AcceptedRevision>) override;
    void newestDocument(ibisgw::adapters::Completion<ibisgw::configuration::AcceptedRevision>) override;
    void documentAt(
        ibisgw::core::Revision, ibisgw::adapters::Completion<ibisgw::configuration::AcceptedRevision>) override;
    void history(std::size_t limit, ibisgw::adapters::Completion<std::vector<ibisgw::adapters::HistoryEntry>>) override;
    void status(ibisgw::adapters::Completion<ibisgw::adapters::SystemStatus>) override;
    void upstreams(ibisgw::adapters::Completion<std::vector<ibisgw::adapters::UpstreamStatus>>) override;
    void flowCounts(ibisgw::adapters::Completion<std::vector<ibisgw::adapters::FlowCount>>) override;
    void findFlow(ibisgw::core::Endpoint caller, ibisgw::core::Endpoint service,
        ibisgw::adapters::Completion<ibisgw::adapters::FlowLocation>) override;
    void drainUpstream(ibisgw::core::Endpoint, ibisgw::adapters::Completion<std::monostate>) override;
    void drainBalancer(const std::string&, ibisgw::adapters::Completion<std::monostate>) override;
    void findSpans(const std::string&, ibisgw::adapters::Completion<std::vector<ibisgw::adapters::Span>>) override;
    std::string metrics() override;
    std::string unhealthyReason() override;
};

} // namespace support
