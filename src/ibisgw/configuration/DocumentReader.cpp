#include "ibisgw/configuration/DocumentReader.h"

#include "ibisgw/configuration/detail/ReferenceCheck.h"
#include "ibisgw/core/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

namespace {

using core::ObjectReader;
using core::Presence;

constexpr std::uint64_t dayMs = 86'400'000;
constexpr std::uint64_t maxDrainLimitMs = 7 * dayMs;
constexpr std::uint64_t maxKindId = 65'535;
constexpr std::uint64_t maxRetryLimit = 16;
constexpr std::uint64_t maxConcurrency = 1'000'000;
// More extra work than this would need upstreams of its own.
constexpr double maxHedgingShare = 0.2;

void readKind(ObjectReader& reader, RequestKind& kind)
{
    reader.readInteger("id", kind.id, 1, maxKindId, Presence::Required);
    reader.readName("name", kind.name, Presence::Required);
    reader.readBoolean("idempotent", kind.idempotent);
    reader.readEnum("placement", kind.placement, placementNames);
    reader.readInteger("deadline_ms", kind.deadlineMs, 1, dayMs, Presence::Optional);
    reader.readInteger("retry_limit", kind.retryLimit, 0, maxRetryLimit, Presence::Optional);
    reader.readInteger("concurrency_limit", kind.concurrencyLimit, 1, maxConcurrency, Presence::Optional);
    reader.readInteger("queue_limit", kind.queueLimit, 0, maxConcurrency, Presence::Optional);
    reader.readEnum("on_partition", kind.onPartition, partitionBehaviourNames);
}

void readService(ObjectReader& reader, Service& service)
{
    const auto requireEntry = [&](std::string_view member, bool isEmpty) {
        if (isEmpty && reader.has(member))
            reader.report(member, "needs at least one entry");
    };
    reader.readName("name", service.name, Presence::Required);
    reader.readName("organization", service.organization, Presence::Required);
    reader.readEndpoints("addresses", service.addresses, Presence::Required);
    requireEntry("addresses", service.addresses.empty());
    reader.readNames("zones", service.zones, Presence::Optional);
    reader.readBoolean("cross_zone", service.isCrossZoneAllowed);
    reader.readInteger("drain_limit_ms", service.drainLimitMs, 0, maxDrainLimitMs, Presence::Optional);
    reader.readEndpoints("drained_upstreams", service.drainedUpstreams, Presence::Optional);
    reader.readObjects("kinds", Presence::Required,
        [&](ObjectReader& kindReader) { readKind(kindReader, service.kinds.emplace_back()); });
    requireEntry("kinds", service.kinds.empty());
    reader.readObject("hedging", Presence::Optional, [&](ObjectReader& hedgingReader) {
        hedgingReader.readNumber("max_share", service.hedging.maxShare, 0, maxHedgingShare);
    });
}

} // namespace

DocumentReadResult readDocument(const nlohmann::json& json)
{
    DocumentReadResult reading;
    Document document;
    ObjectReader reader(json, "", reading.problems);
    reader.readObjects("organizations", Presence::Required, [&](ObjectReader& itemReader) {
        itemReader.readName("name", document.organizations.emplace_back().name, Presence::Required);
    });
    reader.readObjects("zones", Presence::Required, [&](ObjectReader& itemReader) {
        auto& zone = document.zones.emplace_back();
        itemReader.readName("name", zone.name, Presence::Required);
        itemReader.readName("region", zone.region, Presence::Required);
    });
    reader.readObjects("services", Presence::Required,
        [&](ObjectReader& itemReader) { readService(itemReader, document.services.emplace_back()); });
    reader.readNames("evacuated_zones", document.evacuatedZones, Presence::Optional);
    reader.finish();
    detail::checkReferences(document, reading.problems);
    if (reading.problems.empty())
        reading.document = std::move(document);
    return reading;
}

} // namespace ibisgw::configuration
