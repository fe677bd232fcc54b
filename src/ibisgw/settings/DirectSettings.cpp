#include "ibisgw/settings/DirectSettings.h"

#include "ibisgw/core/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace ibisgw::settings {

namespace {

using core::ObjectReader;
using core::PortRule;
using core::Presence;

constexpr std::uint64_t maxDurationMs = 86'400'000;
constexpr std::uint64_t maxLogLinesPerSecond = 10'000;
constexpr double maxLinkMbps = 400'000;
constexpr std::uint64_t maxToleratedDiskLosses = 3;

void readDuration(ObjectReader& reader, std::string_view member, core::Duration& value)
{
    auto ms = static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(value).count());
    reader.readInteger(member, ms, 1, maxDurationMs, Presence::Optional);
    value = std::chrono::milliseconds(ms);
}

void readBalancer(ObjectReader& reader, DirectSettings& settings)
{
    reader.readEndpoint("packets", settings.packets, Presence::Required, PortRule::ZeroAllowed);
    reader.readEndpoint("readiness", settings.readiness, Presence::Required, PortRule::ZeroAllowed);
    double mbps = 0;
    reader.readNumber("link_mbps", mbps, 0, maxLinkMbps);
    constexpr double bytesPerMegabit = 125'000;
    settings.linkBytesPerSecond = static_cast<std::uint64_t>(mbps * bytesPerMegabit);
    readDuration(reader, "max_flow_age_ms", settings.maxFlowAge);
}

void readController(ObjectReader& reader, DirectSettings& settings)
{
    reader.readEndpoint("control", settings.control, Presence::Required, PortRule::ZeroAllowed);
    reader.readText("data_folder", settings.dataFolder, Presence::Required);
    reader.readNames("zones", settings.zones, Presence::Optional);
    reader.readBoolean("first_start", settings.firstStart);
    reader.readInteger(
        "tolerated_disk_losses", settings.toleratedDiskLosses, 0, maxToleratedDiskLosses, Presence::Optional);
}

} // namespace

std::vector<core::NodeId> DirectSettings::seedNodes() const
{
    std::vector<core::NodeId> nodes;
    for (const auto& it : seeds)
        nodes.push_back(core::NodeId::fromEndpoint({ it.address, peer.port }));
    return nodes;
}

DirectSettingsReadResult readDirectSettings(const nlohmann::json& json, DirectRole role)
{
    DirectSettingsReadResult reading;
    DirectSettings settings;
    ObjectReader reader(json, "", reading.problems);
    reader.readName("name", settings.name, Presence::Required);
    reader.readName("zone", settings.zone, Presence::Required);
    reader.readEndpoint("peer", settings.peer, Presence::Required, PortRule::ZeroAllowed);
    reader.readEndpoint("peer_gateway", settings.peerGateway, Presence::Optional, PortRule::ZeroAllowed);
    reader.readEndpoints("seeds", settings.seeds, Presence::Optional);
    readDuration(reader, "report_interval_ms", settings.reportInterval);
    readDuration(reader, "grace_period_ms", settings.gracePeriod);
    reader.readInteger("log_lines_per_second", settings.logLinesPerSecond, 1, maxLogLinesPerSecond, Presence::Optional);
    reader.readEndpoint("metrics", settings.metrics, Presence::Optional, PortRule::ZeroAllowed);
    if (role == DirectRole::Balancer)
        readBalancer(reader, settings);
    else
        readController(reader, settings);
    reader.finish();
    if (reading.problems.empty())
        reading.settings = std::move(settings);
    return reading;
}

} // namespace ibisgw::settings
