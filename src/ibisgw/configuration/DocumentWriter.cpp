#include "ibisgw/configuration/DocumentWriter.h"

#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

namespace {

using nlohmann::json;

json writeKind(const RequestKind& kind)
{
    return {
        { "id", kind.id },
        { "name", kind.name },
        { "idempotent", kind.idempotent },
        { "placement", placementNames.nameOf(kind.placement) },
        { "deadline_ms", kind.deadlineMs },
        { "retry_limit", kind.retryLimit },
        { "concurrency_limit", kind.concurrencyLimit },
        { "queue_limit", kind.queueLimit },
        { "on_partition", partitionBehaviourNames.nameOf(kind.onPartition) },
    };
}

json writeService(const Service& service)
{
    auto addresses = json::array();
    for (const auto& it : service.addresses)
        addresses.push_back(it.toString());
    auto drainedUpstreams = json::array();
    for (const auto& it : service.drainedUpstreams)
        drainedUpstreams.push_back(it.toString());
    auto kinds = json::array();
    for (const auto& it : service.kinds)
        kinds.push_back(writeKind(it));
    json written {
        { "name", service.name },
        { "organization", service.organization },
        { "addresses", std::move(addresses) },
        { "zones", service.zones },
        { "cross_zone", service.isCrossZoneAllowed },
        { "drain_limit_ms", service.drainLimitMs },
        { "drained_upstreams", std::move(drainedUpstreams) },
        { "kinds", std::move(kinds) },
    };
    // Earlier versions refuse documents with this member, so it is written only if it is used.
    if (service.hedging.maxShare > 0)
        written["hedging"] = { { "max_share", service.hedging.maxShare } };
    return written;
}

} // namespace

nlohmann::json writeDocument(const Document& document)
{
    auto organizations = json::array();
    for (const auto& it : document.organizations)
        organizations.push_back(json { { "name", it.name } });
    auto zones = json::array();
    for (const auto& it : document.zones)
        zones.push_back(json { { "name", it.name }, { "region", it.region } });
    auto services = json::array();
    for (const auto& it : document.services)
        services.push_back(writeService(it));
    json written { { "organizations", std::move(organizations) }, { "zones", std::move(zones) },
        { "services", std::move(services) } };
    // Written only when needed: earlier releases refuse a document with this member, and the hash of a document
    // without it must stay the same.
    if (!document.evacuatedZones.empty())
        written["evacuated_zones"] = document.evacuatedZones;
    return written;
}

std::string canonicalText(const Document& document)
{
    return writeDocument(document).dump();
}

} // namespace ibisgw::configuration
