#include "ibisgw/configuration/DocumentCheck.h"

#include "ibisgw/configuration/DocumentCompression.h"
#include "ibisgw/configuration/DocumentReader.h"
#include "ibisgw/configuration/DocumentWriter.h"
#include "ibisgw/configuration/detail/DocumentComparison.h"
#include "ibisgw/core/JsonText.h"
#include "ibisgw/core/ObjectReader.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

namespace {

using core::CheckReport;
using core::CheckRule;

// Lower bound of the duration of an attempt: a packet to an upstream of the same zone and its answer take about 1 ms.
constexpr std::uint64_t minAttemptMs = 1;

void checkRetries(const RequestKind& kind, const std::string& path, CheckReport& report)
{
    const std::uint64_t neededMs = (kind.retryLimit + std::uint64_t { 1 }) * minAttemptMs;
    if (neededMs > kind.deadlineMs)
        report.add(CheckRule::RetriesExceedDeadline, path + "/retry_limit",
            std::to_string(kind.retryLimit) + " retries need at least " + std::to_string(neededMs)
                + " ms, but the deadline is " + std::to_string(kind.deadlineMs)
                + " ms; lower retry_limit or raise deadline_ms");
}

// A queue longer than the concurrency limit can be intended for short requests. It can't for streams, which end too
// rarely, nor if the last open in the queue would wait beyond its deadline even if each request took minAttemptMs only.
void checkQueue(const RequestKind& kind, const std::string& path, CheckReport& report)
{
    if (kind.queueLimit <= kind.concurrencyLimit)
        return;
    const bool isTooLong = kind.queueLimit * minAttemptMs > std::uint64_t { kind.concurrencyLimit } * kind.deadlineMs;
    if (kind.placement == Placement::Sticky || isTooLong)
        report.add(CheckRule::QueueAboveConcurrency, path + "/queue_limit",
            std::to_string(kind.queueLimit) + " opens may wait for " + std::to_string(kind.concurrencyLimit)
                + " flows to end, more than are likely to get a turn within the deadline; lower queue_limit or raise "
                  "concurrency_limit");
}

void checkHedging(const Service& service, const std::string& path, CheckReport& report)
{
    const bool hasIdempotentKind = std::ranges::any_of(service.kinds, &RequestKind::idempotent);
    if (service.hedging.maxShare > 0 && !hasIdempotentKind)
        report.add(CheckRule::HedgingWithoutIdempotentKind, path + "/hedging/max_share",
            "has no effect, because no kind of the service is idempotent; remove it or mark a kind as idempotent");
}

void checkDrainedUpstreams(
    const Service& service, const std::string& path, const std::set<core::Endpoint>& upstreams, CheckReport& report)
{
    if (upstreams.empty())
        return;
    for (std::size_t n = 0; n < service.drainedUpstreams.size(); ++n) {
        const auto& address = service.drainedUpstreams[n];
        if (!upstreams.contains(address))
            report.add(CheckRule::UnknownDrainedUpstream, core::childPath(path + "/drained_upstreams", n),
                "no upstream has the address " + address.toString() + "; correct it or remove it from the list");
    }
}

// A service without a list of zones uses all of them.
void checkZones(const Document& document, CheckReport& report)
{
    std::set<core::ZoneName> used;
    for (const auto& it : document.services) {
        if (it.zones.empty())
            return;
        used.insert(it.zones.begin(), it.zones.end());
    }
    for (std::size_t n = 0; n < document.zones.size(); ++n) {
        const auto& zone = document.zones[n].name;
        if (!used.contains(zone))
            report.add(CheckRule::UnusedZone, core::childPath("/zones", n),
                "no service uses zone '" + zone + "'; add it to the zones of a service or remove it");
    }
}

} // namespace

CheckReport checkDocument(const Document& document, const DocumentContext& context)
{
    CheckReport report;
    if (const auto problem = sizeProblemOf(canonicalText(document)))
        report.addErrors({ *problem });
    if (!context.isPartial)
        checkZones(document, report);
    for (std::size_t n = 0; n < document.services.size(); ++n) {
        const auto& service = document.services[n];
        const auto path = core::childPath("/services", n);
        checkDrainedUpstreams(service, path, context.upstreams, report);
        checkHedging(service, path, report);
        for (std::size_t k = 0; k < service.kinds.size(); ++k) {
            checkRetries(service.kinds[k], core::childPath(path + "/kinds", k), report);
            checkQueue(service.kinds[k], core::childPath(path + "/kinds", k), report);
        }
    }
    if (context.base)
        detail::compareDocuments(*context.base, document,
            context.isPartial ? detail::ComparedPart::Services : detail::ComparedPart::Everything, report);
    return report;
}

CheckReport checkDocumentText(const std::string& text, const DocumentContext& context)
{
    std::vector<core::Problem> problems;
    if (const auto json = core::parseJson(text, problems)) {
        auto reading = readDocument(*json);
        if (reading.document)
            return checkDocument(*reading.document, context);
        problems = std::move(reading.problems);
    }
    CheckReport report;
    report.addErrors(problems);
    return report;
}

} // namespace ibisgw::configuration
