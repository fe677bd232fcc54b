#include "ibisgw/adapters/detail/ApiJson.h"

#include "ibisgw/core/JsonText.h"

namespace ibisgw::adapters::detail {

namespace {

// Bounds the size of an answer: a request body of 1 MiB can contain far more problems than an operator reads.
constexpr std::size_t maxReportedProblems = 1000;

int statusOf(core::ErrorKind kind)
{
    switch (kind) {
    case core::ErrorKind::InvalidInput:
        return 422;
    case core::ErrorKind::NotFound:
        return 404;
    case core::ErrorKind::Conflict:
        return 409;
    case core::ErrorKind::PermissionDenied:
        return 403;
    case core::ErrorKind::Unavailable:
    case core::ErrorKind::ResourceExhausted:
        return 503;
    case core::ErrorKind::DataCorrupted:
    case core::ErrorKind::IoFailed:
    case core::ErrorKind::ProtocolViolation:
        break;
    }
    return 500;
}

} // namespace

nlohmann::json toJson(const core::Problem& problem)
{
    return { { "path", problem.path }, { "message", problem.message } };
}

nlohmann::json toJson(const HistoryEntry& entry)
{
    return { { "revision", entry.revision }, { "author", entry.author }, { "submission", entry.submission },
        { "hash", entry.hash } };
}

nlohmann::json toJson(const MemberStatus& member)
{
    return { { "name", member.name }, { "control", member.control.toString() }, { "zone", member.zone },
        { "balancer", member.balancer }, { "controller", member.controller }, { "state", member.state },
        { "revision", member.revision } };
}

nlohmann::json toJson(const UpstreamStatus& upstream)
{
    return { { "address", upstream.address.toString() }, { "service", upstream.service }, { "zone", upstream.zone },
        { "state", upstream.state }, { "slots", upstream.slots }, { "load", upstream.load },
        { "open_flows", upstream.openFlows } };
}

nlohmann::json toJson(const FlowCount& count)
{
    return { { "service", count.service }, { "upstream", count.upstream.toString() },
        { "open_flows", count.openFlows } };
}

nlohmann::json toJson(const FlowLocation& location)
{
    return { { "service", location.service }, { "upstream", location.upstream.toString() },
        { "source", location.source } };
}

HttpResponse jsonResponse(const nlohmann::json& json, int status)
{
    HttpResponse response;
    response.status = status;
    response.body = core::formatJson(json);
    return response;
}

HttpResponse errorResponse(
    int status, core::ErrorKind kind, const std::string& message, const std::vector<core::Problem>& problems)
{
    const bool isShortened = problems.size() > maxReportedProblems;
    const std::vector<core::Problem> reported(problems.begin(),
        problems.begin() + static_cast<std::ptrdiff_t>(std::min(problems.size(), maxReportedProblems)));
    const auto note = " (the first 1000 of " + std::to_string(problems.size()) + " problems)";
    return jsonResponse({ { "error", core::nameOf(kind) }, { "message", isShortened ? message + note : message },
                            { "problems", toJsonList(reported) } },
        status);
}

HttpResponse errorResponse(const core::Error& error)
{
    return errorResponse(statusOf(error.kind), error.kind, error.message);
}

HttpResponse submissionResponse(const std::string& identifier, const SubmissionAnswer& answer)
{
    switch (answer.outcome) {
    case SubmissionOutcome::Accepted:
        return jsonResponse(
            { { "outcome", "accepted" }, { "submission", identifier }, { "revision", answer.revision } });
    case SubmissionOutcome::Rejected:
        return errorResponse(422, core::ErrorKind::InvalidInput,
            "the document was rejected; correct the problems and submit it with a new identifier", answer.problems);
    case SubmissionOutcome::Conflict:
        return errorResponse(409, core::ErrorKind::Conflict,
            "the newest revision is " + std::to_string(answer.revision)
                + "; apply the change to it and submit it with a new identifier");
    case SubmissionOutcome::Unknown:
        break;
    }
    return jsonResponse({ { "outcome", "unknown" }, { "submission", identifier },
                            { "message", "no answer from the leader yet; ask again with the same identifier" } },
        202);
}

} // namespace ibisgw::adapters::detail
