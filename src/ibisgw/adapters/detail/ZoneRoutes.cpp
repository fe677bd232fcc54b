#include "ibisgw/adapters/detail/ZoneRoutes.h"

#include "ibisgw/configuration/DocumentWriter.h"

#include <algorithm>

namespace ibisgw::adapters::detail {

namespace {

using configuration::AcceptedRevision;
using configuration::Document;

constexpr core::NameTable<ZoneOrder, 2> zoneOrderNames { {
    { ZoneOrder::Evacuate, "evacuate" },
    { ZoneOrder::Restore, "restore" },
} };

nlohmann::json zonesJson(const Document& document)
{
    auto zones = nlohmann::json::array();
    for (const auto& it : document.zones)
        zones.push_back(
            { { "name", it.name }, { "region", it.region }, { "evacuated", document.isEvacuated(it.name) } });
    return zones;
}

void respondDone(const ApiCall& call, const core::ZoneName& zone, ZoneOrder order, core::Revision revision)
{
    call.respond(
        jsonResponse({ { "zone", zone }, { "evacuated", order == ZoneOrder::Evacuate }, { "revision", revision } }));
}

void respondError(const ApiCall& call, core::ErrorKind kind, std::string message)
{
    call.respond(errorResponse(core::Error { kind, std::move(message) }));
}

void respondNoDocument(const ApiCall& call, core::Revision revision)
{
    respondError(call, core::ErrorKind::Unavailable,
        revision == 0 ? "no document is accepted yet; submit one first"
                      : "revision " + std::to_string(revision) + " cannot be read; upgrade this daemon");
}

Document documentAfter(Document document, const core::ZoneName& zone, ZoneOrder order)
{
    if (order == ZoneOrder::Evacuate)
        document.evacuatedZones.push_back(zone);
    else
        std::erase(document.evacuatedZones, zone);
    return document;
}

// The identifier depends only on the order and the revision that it is based on. A repeated order whose answer was lost
// is therefore the same submission, which is accepted once.
ApiSubmission makeSubmission(
    const ApiCall& call, const AcceptedRevision& base, Document document, const core::ZoneName& zone, ZoneOrder order)
{
    ApiSubmission submission;
    submission.base = base.revision;
    submission.identifier
        = std::string(zoneOrderNames.nameOf(order)) + "-" + zone + "-" + std::to_string(base.revision);
    submission.author = call.hasToken ? call.caller.author() : "local";
    submission.text = configuration::canonicalText(document);
    submission.document = std::make_shared<const Document>(std::move(document));
    return submission;
}

void respondOutcome(const ApiCall& call, const core::ZoneName& zone, ZoneOrder order, const SubmissionAnswer& answer)
{
    switch (answer.outcome) {
    case SubmissionOutcome::Accepted:
        respondDone(call, zone, order, answer.revision);
        return;
    case SubmissionOutcome::Conflict:
        respondError(call, core::ErrorKind::Conflict,
            "revision " + std::to_string(answer.revision) + " was accepted first; repeat the order");
        return;
    case SubmissionOutcome::Rejected:
        call.respond(
            errorResponse(422, core::ErrorKind::InvalidInput, "the order was rejected; see problems", answer.problems));
        return;
    case SubmissionOutcome::Unknown:
        respondError(call, core::ErrorKind::Unavailable, "the order is not committed yet; repeat the order");
        return;
    }
}

void submitOrder(const ApiCallPtr& call, const core::ZoneName& zone, ZoneOrder order, const AcceptedRevision& newest)
{
    auto document = parseAccepted(newest);
    if (newest.revision == 0 || !document) {
        respondNoDocument(*call, newest.revision);
        return;
    }
    if (!document->hasZone(zone)) {
        respondError(*call, core::ErrorKind::NotFound,
            "the document has no zone '" + zone + "'; list them with: ibisgw zone list");
        return;
    }
    if (document->isEvacuated(zone) == (order == ZoneOrder::Evacuate)) {
        respondDone(*call, zone, order, newest.revision);
        return;
    }
    const auto submission
        = makeSubmission(*call, newest, documentAfter(std::move(*document), zone, order), zone, order);
    call->backend.submit(submission, onSuccess<SubmissionAnswer>(call, [call, zone, order](const auto& answer) {
        respondOutcome(*call, zone, order, answer);
    }));
}

} // namespace

void showZones(const ApiCallPtr& call)
{
    call->backend.documentInForce(onSuccess<AcceptedRevision>(call, [call](const auto& accepted) {
        if (const auto document = parseAccepted(accepted))
            call->respond(jsonResponse({ { "revision", accepted.revision }, { "zones", zonesJson(*document) } }));
        else
            respondNoDocument(*call, accepted.revision);
    }));
}

void orderEvacuation(const ApiCallPtr& call, const core::ZoneName& zone, ZoneOrder order)
{
    if (!requireSystemScope(*call))
        return;
    // The order starts from the newest revision of the leader: the one in force at this daemon may be older, and a
    // restore that changes nothing in it must not be confirmed while the zone is evacuated.
    call->backend.newestDocument(onSuccess<AcceptedRevision>(
        call, [call, zone, order](const auto& newest) { submitOrder(call, zone, order, newest); }));
}

} // namespace ibisgw::adapters::detail
