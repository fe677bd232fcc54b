#include "ibisgw_cli/ConfigCommands.h"

#include "ibisgw/adapters/CheckOutput.h"
#include "ibisgw/configuration/DocumentCheck.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/core/JsonText.h"
#include "ibisgw_cli/ReadFile.h"

#include <openssl/rand.h>
#include <ostream>

namespace ibisgw_cli {

namespace {

using namespace ibisgw;
using nlohmann::json;

constexpr std::size_t identifierBytes = 16;
// A document of the largest size that daemons accept, with any indentation.
constexpr std::size_t maxDocumentFileBytes = std::size_t { 16 } << 20;
// Argument of --against that stands for the document in force.
constexpr std::string_view current = "current";

// Random 128-bit identifier of a submission, in hexadecimal; empty when the system has no random numbers. Identifiers
// must not repeat across operators and machines, since a repeated one marks a resubmission.
std::string makeIdentifier()
{
    unsigned char bytes[identifierBytes];
    if (RAND_bytes(bytes, sizeof bytes) != 1)
        return {};
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const auto it : bytes) {
        text += digits[it >> 4];
        text += digits[it & 15];
    }
    return text;
}

// Reads and checks a document. Empty after an error has been printed; `status` then holds the exit status.
std::optional<json> loadDocument(const Invocation& invocation, const std::string& file, ExitStatus& status)
{
    status = ExitStatus::InvalidInput;
    const auto text = readFile(invocation, file, "the document");
    if (!text)
        return std::nullopt;
    std::vector<core::Problem> problems;
    auto document = core::parseJson(*text, problems);
    if (document)
        problems = configuration::readDocument(*document).problems;
    if (!problems.empty()) {
        json error { { "error", "invalid_input" }, { "message", file + " has problems; correct them" },
            { "problems", json::array() } };
        for (const auto& it : problems)
            error["problems"].push_back({ { "path", it.path }, { "message", it.message } });
        printError(invocation.err, invocation.format, error);
        return std::nullopt;
    }
    status = ExitStatus::Ok;
    return document;
}

core::CheckReport checkAgainstFile(const std::string& text, const std::string& file)
{
    core::CheckReport report;
    const auto baseText = adapters::readCheckedFile(file, maxDocumentFileBytes, report);
    if (!baseText)
        return report;
    std::vector<core::Problem> problems;
    configuration::DocumentReadResult base;
    if (const auto json = core::parseJson(*baseText, problems))
        base = configuration::readDocument(*json);
    if (base.document)
        return configuration::checkDocumentText(text, { .base = &*base.document });
    adapters::addBaseError(file, problems.empty() ? base.problems : problems, report);
    return report;
}

// Lets a daemon check a valid document against the one in force there. Empty after an error has been printed; `status`
// then holds the exit status.
std::optional<json> requestCheck(const Invocation& invocation, const std::string& text, ExitStatus& status)
{
    const auto client = invocation.connect(status);
    if (!client)
        return std::nullopt;
    auto reply = client->post("/api/v1/check", { { "document", json::parse(text) } });
    if (const auto report = reply.body.find("report");
        reply.status == 200 && report != reply.body.end() && report->is_object())
        return *report;
    // Failed would have the same number as Warnings.
    status
        = exitStatusOf(reply) == ExitStatus::PermissionDenied ? ExitStatus::PermissionDenied : ExitStatus::InvalidInput;
    if (reply.status == 200)
        invocation.fail(status, "unavailable", "the daemon sends no report; upgrade it or compare with a file");
    else
        invocation.reportFailure(reply, status);
    return std::nullopt;
}

ExitStatus reportOutcome(const Invocation& invocation, const ApiReply& reply, const std::string& identifier)
{
    const auto status = exitStatusOfSubmission(reply);
    if (status == ExitStatus::Ok) {
        if (invocation.format == OutputFormat::Json)
            invocation.printJson(reply.body);
        else
            invocation.out << "accepted as revision " << reply.body.value("revision", json()) << "\n";
        return status;
    }
    printError(invocation.err, invocation.format, reply.body);
    if (status == ExitStatus::UnknownOutcome)
        invocation.err << "the outcome is unknown; ask again with: ibisgw config outcome " << identifier
                       << "\nor repeat the same command with: --submission " << identifier << "\n";
    return status;
}

} // namespace

ExitStatus runConfigCheck(const Invocation& invocation)
{
    const adapters::CheckOptions options { invocation.arguments[0], invocation.against,
        invocation.format == OutputFormat::Json };
    core::CheckReport report;
    const auto text = adapters::readCheckedFile(options.file, maxDocumentFileBytes, report);
    if (text)
        report = options.against.empty() || options.against == current ? configuration::checkDocumentText(*text)
                                                                       : checkAgainstFile(*text, options.against);
    auto json = core::toJson(report);
    if (options.against == current && report.count(core::Severity::Error) == 0) {
        auto status = ExitStatus::Ok;
        const auto checked = requestCheck(invocation, *text, status);
        if (!checked)
            return status;
        json = *checked;
    }
    return static_cast<ExitStatus>(adapters::printCheckReport(json, options, invocation.out, invocation.err));
}

ExitStatus runConfigSubmit(const Invocation& invocation)
{
    if (!invocation.base)
        return invocation.fail(ExitStatus::InvalidInput, "invalid_input",
            "--base is missing; give the revision that the document was made from, see: ibisgw config show");
    auto status = ExitStatus::Ok;
    const auto document = loadDocument(invocation, invocation.arguments[0], status);
    const auto client = document ? invocation.connect(status) : std::nullopt;
    if (!client)
        return status;
    const auto identifier = invocation.submission.empty() ? makeIdentifier() : invocation.submission;
    if (identifier.empty())
        return invocation.fail(ExitStatus::Failed, "unavailable",
            "the system's random number generator failed; give an identifier with --submission");
    // Printed before the request is sent, so that the operator can look up the outcome even if this process is killed.
    (invocation.format == OutputFormat::Json ? invocation.err : invocation.out)
        << "submission " << identifier << std::endl;
    const auto reply = client->post("/api/v1/submissions",
        { { "base", *invocation.base }, { "submission", identifier }, { "document", *document } });
    return reportOutcome(invocation, reply, identifier);
}

ExitStatus runConfigOutcome(const Invocation& invocation)
{
    auto status = ExitStatus::Ok;
    const auto client = invocation.connect(status);
    if (!client)
        return status;
    const auto reply = client->get("/api/v1/submissions/" + ApiClient::percentEncode(invocation.arguments[0]));
    return reportOutcome(invocation, reply, invocation.arguments[0]);
}

ExitStatus runConfigShow(const Invocation& invocation)
{
    auto status = ExitStatus::Ok;
    const auto body = invocation.get(invocation.arguments.empty()
            ? "/api/v1/document"
            : "/api/v1/revisions/" + ApiClient::percentEncode(invocation.arguments[0]),
        status);
    if (!body)
        return status;
    if (invocation.format == OutputFormat::Json) {
        invocation.printJson(*body);
        return status;
    }
    // Standard output holds the document only, so that it can be saved, edited and submitted.
    invocation.err << "revision " << body->value("revision", json()) << "\n";
    invocation.printJson(body->value("document", json()));
    return status;
}

ExitStatus runConfigHistory(const Invocation& invocation)
{
    return invocation.showList("/api/v1/revisions?limit=" + std::to_string(invocation.limit), "revisions",
        { "revision", "author", "submission", "hash" });
}

ExitStatus runConfigDiff(const Invocation& invocation)
{
    const auto& arguments = invocation.arguments;
    return invocation.showList("/api/v1/revisions/" + ApiClient::percentEncode(arguments[0]) + "/diff/"
            + ApiClient::percentEncode(arguments[1]),
        "patch", { "op", "path", "value" });
}

} // namespace ibisgw_cli
