#include "ibisgw/settings/DaemonSettings.h"

#include <nlohmann/json.hpp>

namespace ibisgw::settings {

namespace {

core::Endpoint readEndpoint(const nlohmann::json& json, const char* name)
{
    if (!json.contains(name))
        return {};
    return core::Endpoint::parse(json.at(name).get<std::string>()).value();
}

std::vector<core::Endpoint> readEndpoints(const nlohmann::json& json, const char* name)
{
    std::vector<core::Endpoint> endpoints;
    for (const auto& it : json.value(name, nlohmann::json::array()))
        endpoints.push_back(core::Endpoint::parse(it.get<std::string>()).value());
    return endpoints;
}

} // namespace

SettingsReading readSettings(const nlohmann::json& json)
{
    SettingsReading reading;
    try {
        DaemonSettings settings;
        settings.name = json.at("name").get<std::string>();
        settings.zone = json.at("zone").get<std::string>();
        settings.region = json.value("region", settings.region);
        settings.group = json.value("group", settings.group);
        settings.balancer = json.value("balancer", settings.balancer);
        settings.controller = json.value("controller", settings.controller);
        settings.callerSide = readEndpoint(json, "caller_side");
        settings.upstreamSide = readEndpoint(json, "upstream_side");
        settings.control = readEndpoint(json, "control");
        settings.admin = readEndpoint(json, "admin");
        settings.fabrics = readEndpoints(json, "fabrics");
        settings.seeds = readEndpoints(json, "seeds");
        settings.controllers = readEndpoints(json, "controllers");
        settings.dataFolder = json.value("data_folder", settings.dataFolder);
        settings.keyFile = json.value("key_file", settings.keyFile);
        settings.tokenFile = json.value("token_file", settings.tokenFile);
        settings.controlBytesPerSecond = json.value("control_bytes_per_second", settings.controlBytesPerSecond);
        settings.flowCapacity = json.value("flow_capacity", settings.flowCapacity);
        settings.traceSamplingRate = json.value("trace_sampling_rate", settings.traceSamplingRate);
        settings.traceFile = json.value("trace_file", settings.traceFile);
        settings.logFile = json.value("log_file", settings.logFile);
        settings.initialDocument = json.value("initial_document", settings.initialDocument);
        reading.settings = std::move(settings);
    } catch (const std::exception& exception) {
        reading.problems.push_back({ "", exception.what() });
    }
    return reading;
}

} // namespace ibisgw::settings
