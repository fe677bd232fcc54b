#include "ibisgw/settings/DaemonSettings.h"

#include "ibisgw/core/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace ibisgw::settings {

namespace {

using core::ObjectReader;
using core::PortRule;
using core::Presence;

// With a lower limit, one datagram of full size would use up the control bandwidth of several seconds.
constexpr std::uint64_t minControlBytesPerSecond = 512;
constexpr std::uint64_t maxControlBytesPerSecond = 1'000'000'000;
constexpr std::uint64_t maxFlowCapacity = 100'000'000;

Presence requiredIf(bool condition)
{
    return condition ? Presence::Required : Presence::Optional;
}

void readAddresses(ObjectReader& reader, DaemonSettings& settings)
{
    reader.readEndpoint("caller_side", settings.callerSide, requiredIf(settings.balancer), PortRule::ZeroAllowed);
    reader.readEndpoint("upstream_side", settings.upstreamSide, requiredIf(settings.balancer), PortRule::ZeroAllowed);
    reader.readEndpoint("control", settings.control, Presence::Required, PortRule::ZeroAllowed);
    reader.readEndpoint("admin", settings.admin, Presence::Optional, PortRule::ZeroAllowed);
    reader.readEndpoints("fabrics", settings.fabrics, Presence::Optional);
    reader.readEndpoints("seeds", settings.seeds, Presence::Optional);
    reader.readEndpoints("controllers", settings.controllers, requiredIf(settings.controller));
}

void readFiles(ObjectReader& reader, DaemonSettings& settings)
{
    reader.readText("data_folder", settings.dataFolder, requiredIf(settings.controller));
    reader.readText("key_file", settings.keyFile, Presence::Required);
    reader.readText("token_file", settings.tokenFile, Presence::Optional);
    reader.readText("trace_file", settings.traceFile, Presence::Optional);
    reader.readText("log_file", settings.logFile, Presence::Optional);
}

void checkRoles(ObjectReader& reader, const DaemonSettings& settings)
{
    if (!settings.balancer && !settings.controller)
        reader.report("balancer", "is false and so is controller; enable at least one role");
    const bool isListed = std::ranges::find(settings.controllers, settings.control) != settings.controllers.end();
    if (settings.controller && reader.has("controllers") && !isListed)
        reader.report("controllers", "does not list the control address of this controller; add it");
}

} // namespace

SettingsReadResult readSettings(const nlohmann::json& json)
{
    SettingsReadResult reading;
    DaemonSettings settings;
    ObjectReader reader(json, "", reading.problems);
    reader.readName("name", settings.name, Presence::Required);
    reader.readName("zone", settings.zone, Presence::Required);
    reader.readName("region", settings.region, Presence::Optional);
    reader.readName("group", settings.group, Presence::Optional);
    reader.readBoolean("balancer", settings.balancer);
    reader.readBoolean("controller", settings.controller);
    readAddresses(reader, settings);
    readFiles(reader, settings);
    reader.readInteger("control_bytes_per_second", settings.controlBytesPerSecond, minControlBytesPerSecond,
        maxControlBytesPerSecond, Presence::Optional);
    reader.readInteger("flow_capacity", settings.flowCapacity, 1, maxFlowCapacity, Presence::Optional);
    reader.readNumber("trace_sampling_rate", settings.traceSamplingRate, 0.0, 1.0);
    reader.finish();
    checkRoles(reader, settings);
    if (reading.problems.empty())
        reading.settings = std::move(settings);
    return reading;
}

} // namespace ibisgw::settings
