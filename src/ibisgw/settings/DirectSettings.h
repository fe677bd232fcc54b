#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Problem.h"
#include "ibisgw/core/Time.h"

#include <nlohmann/json_fwd.hpp>

#include <optional>
#include <string>
#include <vector>

namespace ibisgw::settings {

// Settings of one daemon in direct-return mode, in which upstreams send their answers directly to the callers and
// report their state to the controllers.
struct DirectSettings {
    std::string name;
    core::ZoneName zone;
    // Address for messages between daemons; all daemons of a deployment use the same port.
    core::Endpoint peer;
    // Gateway that forwards messages between daemons; port 0 when the daemons reach each other directly.
    core::Endpoint peerGateway;
    // Control addresses of the controllers that this daemon contacts first.
    std::vector<core::Endpoint> seeds;

    // Balancers only: addresses for packets from callers and for the readiness check.
    core::Endpoint packets;
    core::Endpoint readiness;
    // Maximum rate at which the VM may send; 0 for no limit.
    std::uint64_t linkBytesPerSecond { 0 };

    // Controllers only: address at which upstreams send reports and operators submit configurations.
    core::Endpoint control;
    std::string dataFolder;
    // Names of all zones of the deployment; empty if they are not known.
    std::vector<core::ZoneName> zones;
    // True only at the first start of the whole deployment, when all disks are empty: the controllers may then
    // bootstrap a group.
    bool firstStart { false };
    std::uint32_t toleratedDiskLosses { 1 };

    // Interval at which an upstream sends reports.
    core::Duration reportInterval { std::chrono::seconds(1) };
    // Time from the request to stop until the process is killed.
    core::Duration gracePeriod { std::chrono::seconds(5) };
    core::Duration maxFlowAge { std::chrono::seconds(60) };
    // Maximum number of log lines a second for each kind of event.
    std::uint32_t logLinesPerSecond { 10 };
    // HTTP address at which metrics are served as text; port 0 for none.
    core::Endpoint metrics;

    // Peer addresses of the seeds: their hosts with the port of `peer`.
    std::vector<core::NodeId> seedNodes() const;
};

// Result of readDirectSettings(): either valid settings, or all problems found.
struct DirectSettingsReadResult {
    std::optional<DirectSettings> settings;
    std::vector<core::Problem> problems;
};

enum class DirectRole : std::uint8_t {
    Balancer,
    Controller,
};

DirectSettingsReadResult readDirectSettings(const nlohmann::json&, DirectRole);

} // namespace ibisgw::settings
