#include "ibisgw/configuration/DocumentReader.h"

#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

namespace {

RequestKind readKind(const nlohmann::json& json)
{
    RequestKind kind;
    kind.id = json.at("id").get<core::KindId>();
    kind.name = json.at("name").get<std::string>();
    kind.idempotent = json.value("idempotent", kind.idempotent);
    kind.placement = placementFromName(json.value("placement", "load")).value_or(Placement::Load);
    kind.deadlineMs = json.value("deadline_ms", kind.deadlineMs);
    kind.retryLimit = json.value("retry_limit", kind.retryLimit);
    kind.concurrencyLimit = json.value("concurrency_limit", kind.concurrencyLimit);
    kind.queueLimit = json.value("queue_limit", kind.queueLimit);
    kind.onPartition
        = partitionBehaviourFromName(json.value("on_partition", "serve")).value_or(PartitionBehaviour::Serve);
    return kind;
}

Service readService(const nlohmann::json& json)
{
    Service service;
    service.name = json.at("name").get<std::string>();
    service.organization = json.at("organization").get<std::string>();
    for (const auto& it : json.at("addresses"))
        service.addresses.push_back(core::Endpoint::parse(it.get<std::string>()).value());
    service.zones = json.value("zones", service.zones);
    service.crossZone = json.value("cross_zone", service.crossZone);
    service.drainLimitMs = json.value("drain_limit_ms", service.drainLimitMs);
    for (const auto& it : json.at("kinds"))
        service.kinds.push_back(readKind(it));
    return service;
}

} // namespace

DocumentReading readDocument(const nlohmann::json& json)
{
    DocumentReading reading;
    try {
        Document document;
        for (const auto& it : json.at("organizations"))
            document.organizations.push_back({ it.at("name").get<std::string>() });
        for (const auto& it : json.at("zones"))
            document.zones.push_back({ it.at("name").get<std::string>(), it.at("region").get<std::string>() });
        for (const auto& it : json.at("services"))
            document.services.push_back(readService(it));
        reading.document = std::move(document);
    } catch (const std::exception& exception) {
        reading.problems.push_back({ "", exception.what() });
    }
    return reading;
}

} // namespace ibisgw::configuration
