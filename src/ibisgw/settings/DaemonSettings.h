#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Problem.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace ibisgw::settings {

// What one daemon needs to know before it has met its peers.
struct DaemonSettings {
    std::string name;
    core::ZoneName zone;
    std::string region;
    // Balancers among which the fabric sprays packets share a group.
    std::string group;
    bool balancer { true };
    bool controller { false };
    // Sockets for packets from callers and from upstreams; balancers only.
    core::Endpoint callerSide;
    core::Endpoint upstreamSide;
    // Socket for messages between daemons (UDP) and, on controllers, streams (TCP, same port).
    core::Endpoint control;
    // HTTP address of the administration API.
    core::Endpoint admin;
    // Fabric devices that are told which balancers take packets.
    std::vector<core::Endpoint> fabrics;
    // Control addresses of some daemons, to meet the others.
    std::vector<core::Endpoint> seeds;
    // Control addresses of all controllers.
    std::vector<core::Endpoint> controllers;
    std::string dataFolder;
    std::string keyFile;
    std::string tokenFile;
    std::uint32_t controlBytesPerSecond { 4096 };
    std::size_t flowCapacity { 400'000 };
    double traceSamplingRate { 0.0 };
    std::string traceFile;
    std::string logFile;
};

struct SettingsReading {
    std::optional<DaemonSettings> settings;
    std::vector<core::Problem> problems;
};

SettingsReading readSettings(const nlohmann::json&);

} // namespace ibisgw::settings
