#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Problem.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace ibisgw::settings {

// Settings file of one daemon of `ibisgwd`: its roles, sockets, files and limits, and the addresses through which it
// joins the other daemons.
struct DaemonSettings {
    std::string name;
    core::ZoneName zone;
    std::string region;
    // Group of this balancer. The fabric distributes packets among the balancers that have the same group.
    std::string group;
    bool balancer { true };
    bool controller { false };
    // Addresses of the sockets for packets from callers and from upstreams; balancers only.
    core::Endpoint callerSide;
    core::Endpoint upstreamSide;
    // Address of the socket for messages between daemons (UDP) and, on controllers, for streams (TCP, same port).
    core::Endpoint control;
    // HTTP address of the administration API.
    core::Endpoint admin;
    // Fabric devices to which this daemon reports the balancers that accept packets.
    std::vector<core::Endpoint> fabrics;
    // Control addresses of some daemons, through which this daemon joins the gossip membership.
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

// Result of readSettings(): either valid settings, or all problems found.
struct SettingsReadResult {
    std::optional<DaemonSettings> settings;
    std::vector<core::Problem> problems;
};

SettingsReadResult readSettings(const nlohmann::json&);

} // namespace ibisgw::settings
