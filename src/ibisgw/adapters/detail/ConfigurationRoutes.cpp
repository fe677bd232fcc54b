#include "ibisgw/adapters/detail/ConfigurationRoutes.h"

#include "ibisgw/adapters/detail/DocumentScope.h"
#include "ibisgw/configuration/DocumentCheck.h"
#include "ibisgw/configuration/DocumentCompression.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/configuration/DocumentWriter.h"
#include "ibisgw/core/JsonText.h"
#include "ibisgw/core/ObjectReader.h"

#include <algorithm>

namespace ibisgw::adapters::detail {

namespace {

using configuration::AcceptedRevision;
using configuration::Document;

constexpr std::size_t defaultHistoryLimit = 50;
constexpr std::size_t maxHistoryLimit = 1000;
constexpr std::size_t maxIdentifierBytes = 128;

const char* const documentField = "/document";

void respondInvalid(const ApiCall& call, const std::vector<core::Problem>& problems, int status = 422)
{
    call.respond(errorResponse(
        status, core::ErrorKind::InvalidInput, "the request has problems; correct them and try again", problems));
}

// The part of the document that the caller may see; empty if the accepted text is not a valid document.
std::optional<Document> visibleDocument(const ApiCall& call, const AcceptedRevision& accepted)
{
    auto document = parseAccepted(accepted);
    if (document && !call.caller.hasSystemScope())
        document = restrictDocument(*document, call.caller.organization);
    return document;
}

void respondDamaged(const ApiCall& call, core::Revision revision)
{
    call.respond(errorResponse(500, core::ErrorKind::DataCorrupted,
        "revision " + std::to_string(revision)
            + " is not a valid document; send the request to a daemon on another VM"));
}

bool maySeeSubmission(const ApiCall& call, const std::string& identifier)
{
    return call.caller.hasSystemScope() || identifier.starts_with(call.caller.organization + "/");
}

void respondDocument(const ApiCall& call, const AcceptedRevision& accepted)
{
    const auto document = visibleDocument(call, accepted);
    if (!document) {
        respondDamaged(call, accepted.revision);
        return;
    }
    nlohmann::json answer { { "revision", accepted.revision },
        { "document", configuration::writeDocument(*document) } };
    if (maySeeSubmission(call, accepted.submission)) {
        answer["author"] = accepted.author;
        answer["submission"] = accepted.submission;
    }
    call.respond(jsonResponse(answer));
}

// Calls the function with the accepted revision, or answers the call with the error. Revision 0 is the empty
// document before the first accepted revision.
void withRevision(
    const ApiCallPtr& call, core::Revision revision, std::function<void(const AcceptedRevision&)> function)
{
    if (revision == 0)
        function(AcceptedRevision {});
    else
        call->backend.documentAt(revision, onSuccess<AcceptedRevision>(call, std::move(function)));
}

// Parses the body of the request. If it is not valid JSON, answers with status 400 and returns nothing.
std::optional<nlohmann::json> parseBody(const ApiCall& call)
{
    std::vector<core::Problem> problems;
    auto json = core::parseJson(call.request.body, problems);
    if (!json)
        respondInvalid(call, problems, 400);
    return json;
}

// Parses the document and removes it from the body, so that ObjectReader does not report it as an unknown field.
std::optional<Document> takeDocument(nlohmann::json& body, std::vector<core::Problem>& problems)
{
    if (!body.is_object() || !body.contains("document")) {
        problems.push_back({ documentField, "is missing; add it" });
        return std::nullopt;
    }
    auto reading = configuration::readDocument(body["document"]);
    body.erase("document");
    for (auto& it : reading.problems)
        problems.push_back({ documentField + it.path, std::move(it.message) });
    return std::move(reading.document);
}

// Checks the text in two parts, because isName() accepts at most 64 characters.
bool isSubmissionIdentifier(const std::string& text)
{
    std::string dotted = text;
    std::ranges::replace(dotted, '/', '.');
    return text.size() <= maxIdentifierBytes && core::isName(dotted.substr(0, 64))
        && (dotted.size() <= 64 || core::isName(dotted.substr(64)));
}

ApiSubmission readSubmission(const ApiCall& call, const nlohmann::json& body, std::vector<core::Problem>& problems)
{
    ApiSubmission submission;
    core::ObjectReader reader(body, "", problems);
    reader.readInteger(
        "base", submission.base, 0, std::numeric_limits<core::Revision>::max(), core::Presence::Required);
    reader.readText("submission", submission.identifier, core::Presence::Required);
    reader.readName("author", submission.author, core::Presence::Optional);
    reader.finish();
    if (!submission.identifier.empty() && !isSubmissionIdentifier(submission.identifier))
        reader.report("submission", "must have 1 to 128 letters, digits, '-', '_', '.' or '/'");
    // A token authenticates the caller; the field "author" is used only if the API runs without tokens.
    if (call.hasToken)
        submission.author = call.caller.author();
    else if (submission.author.empty())
        submission.author = "local";
    if (!maySeeSubmission(call, submission.identifier))
        submission.identifier = call.caller.organization + "/" + submission.identifier;
    return submission;
}

void sendSubmission(const ApiCallPtr& call, ApiSubmission submission, Document document)
{
    submission.text = configuration::canonicalText(document);
    if (const auto problem = configuration::sizeProblemOf(submission.text)) {
        respondInvalid(*call, { { documentField + problem->path, problem->message } });
        return;
    }
    submission.document = std::make_shared<const Document>(std::move(document));
    const auto identifier = submission.identifier;
    call->backend.submit(submission, onSuccess<SubmissionAnswer>(call, [call, identifier](const auto& answer) {
        call->respond(submissionResponse(identifier, answer));
    }));
}

// The base document with the services of the caller's organization replaced by the submitted ones. Empty after an
// answer with the problems if the caller changed anything else or the resulting document is invalid.
std::optional<Document> mergeScopedChange(
    const ApiCall& call, const Document& submitted, const AcceptedRevision& accepted)
{
    const auto base = parseAccepted(accepted);
    if (!base) {
        respondDamaged(call, accepted.revision);
        return std::nullopt;
    }
    auto change = applyScopedChange(*base, submitted, call.caller.organization);
    const auto addPrefix = [](std::vector<core::Problem>& problems) {
        for (auto& it : problems)
            it.path.insert(0, documentField);
    };
    addPrefix(change.forbiddenChanges);
    addPrefix(change.problems);
    if (!change.forbiddenChanges.empty())
        call.respond(errorResponse(403, core::ErrorKind::PermissionDenied,
            "the token may change only services of organization '" + call.caller.organization + "'",
            change.forbiddenChanges));
    else if (!change.problems.empty())
        respondInvalid(call, change.problems);
    else
        return std::move(change.document);
    return std::nullopt;
}

void sendScopedSubmission(
    const ApiCallPtr& call, ApiSubmission submission, const Document& submitted, const AcceptedRevision& accepted)
{
    if (auto merged = mergeScopedChange(*call, submitted, accepted))
        sendSubmission(call, std::move(submission), std::move(*merged));
}

// Addresses of the known upstreams that the caller may see; empty if they are not known.
std::set<core::Endpoint> visibleUpstreams(
    const ApiCall& call, const Document& inForce, const ApiResult<std::vector<UpstreamStatus>>& upstreams)
{
    std::set<core::Endpoint> addresses;
    const auto* known = std::get_if<std::vector<UpstreamStatus>>(&upstreams);
    if (!known)
        return addresses;
    for (const auto& it : *known) {
        if (call.caller.hasSystemScope()
            || std::ranges::find(inForce.services, it.service, &configuration::Service::name) != inForce.services.end())
            addresses.insert(it.address);
    }
    return addresses;
}

void respondChecked(const ApiCall& call, const Document& checked, const AcceptedRevision& accepted,
    const ApiResult<std::vector<UpstreamStatus>>& upstreams)
{
    const auto inForce = visibleDocument(call, accepted);
    if (!inForce) {
        respondDamaged(call, accepted.revision);
        return;
    }
    if (!call.caller.hasSystemScope() && !mergeScopedChange(call, checked, accepted))
        return;
    const configuration::DocumentContext context { &*inForce, visibleUpstreams(call, *inForce, upstreams),
        !call.caller.hasSystemScope() };
    auto patch = nlohmann::json::diff(configuration::writeDocument(*inForce), configuration::writeDocument(checked));
    call.respond(jsonResponse({ { "valid", true }, { "revision", accepted.revision }, { "patch", std::move(patch) },
        { "report", core::toJson(configuration::checkDocument(checked, context)) } }));
}

} // namespace

void showDocumentInForce(const ApiCallPtr& call)
{
    call->backend.documentInForce(
        onSuccess<AcceptedRevision>(call, [call](const auto& accepted) { respondDocument(*call, accepted); }));
}

void showDocumentAt(const ApiCallPtr& call, core::Revision revision)
{
    withRevision(call, revision, [call](const auto& accepted) { respondDocument(*call, accepted); });
}

void showHistory(const ApiCallPtr& call)
{
    const auto limit = parseNumber(queryParameter(call->request.query, "limit")).value_or(defaultHistoryLimit);
    call->backend.history(
        std::min<std::size_t>(limit, maxHistoryLimit), onSuccess<std::vector<HistoryEntry>>(call, [call](auto entries) {
            std::erase_if(entries, [&](const auto& it) { return !maySeeSubmission(*call, it.submission); });
            call->respond(jsonResponse({ { "revisions", toJsonList(entries) } }));
        }));
}

void showDifference(const ApiCallPtr& call, core::Revision from, core::Revision to)
{
    withRevision(call, from, [call, from, to](const AcceptedRevision& first) {
        withRevision(call, to, [call, from, to, first](const AcceptedRevision& second) {
            const auto before = visibleDocument(*call, first);
            const auto after = visibleDocument(*call, second);
            if (!before || !after) {
                respondDamaged(*call, before ? to : from);
                return;
            }
            auto patch
                = nlohmann::json::diff(configuration::writeDocument(*before), configuration::writeDocument(*after));
            call->respond(jsonResponse({ { "from", from }, { "to", to }, { "patch", std::move(patch) } }));
        });
    });
}

void checkDocument(const ApiCallPtr& call)
{
    auto body = parseBody(*call);
    if (!body)
        return;
    std::vector<core::Problem> problems;
    const auto document = takeDocument(*body, problems);
    core::ObjectReader(*body, "", problems).finish();
    if (!document || !problems.empty()) {
        respondInvalid(*call, problems);
        return;
    }
    call->backend.documentInForce(
        onSuccess<AcceptedRevision>(call, [call, checked = *document](const AcceptedRevision& accepted) {
            call->backend.upstreams([call, checked, accepted](const ApiResult<std::vector<UpstreamStatus>>& upstreams) {
                respondChecked(*call, checked, accepted, upstreams);
            });
        }));
}

void submitDocument(const ApiCallPtr& call)
{
    auto body = parseBody(*call);
    if (!body)
        return;
    std::vector<core::Problem> problems;
    auto document = takeDocument(*body, problems);
    auto submission = readSubmission(*call, *body, problems);
    if (!document || !problems.empty()) {
        respondInvalid(*call, problems);
        return;
    }
    if (call->caller.hasSystemScope()) {
        sendSubmission(call, std::move(submission), std::move(*document));
        return;
    }
    withRevision(
        call, submission.base, [call, submission, document = std::move(*document)](const AcceptedRevision& accepted) {
            sendScopedSubmission(call, submission, document, accepted);
        });
}

void showSubmission(const ApiCallPtr& call, const std::string& identifier)
{
    const auto full = maySeeSubmission(*call, identifier) ? identifier : call->caller.organization + "/" + identifier;
    call->backend.findSubmission(full, onSuccess<SubmissionAnswer>(call, [call, full](const auto& answer) {
        call->respond(submissionResponse(full, answer));
    }));
}

} // namespace ibisgw::adapters::detail
