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

// Settings of one daemon of a deployment whose upstreams answer callers directly and report themselves to
// controllers.
struct DirectSettings {
    std::string name;
    core::ZoneName zone;
    // Messages between daemons; all daemons of a deployment use the same port.
    core::Endpoint peer;
    // Passes messages between daemons on; port 0 when they reach each other directly.
    core::Endpoint peerGateway;
    // Controllers to start with, by the address at which they serve reports and configurations.
    std::vector<core::Endpoint> seeds;

    // Balancers only: packets of callers, and the readiness check.
    core::Endpoint packets;
    core::Endpoint readiness;
    // Rate at which the VM may send; 0 for no limit.
    std::uint64_t linkBytesPerSecond { 0 };

    // Controllers only: reports of upstreams and configurations of operators.
    core::Endpoint control;
    std::string dataFolder;
    // True only at the first start of the whole deployment, with empty disks.
    bool firstStart { false };
    std::uint32_t toleratedDiskLosses { 1 };

    // How often an upstream reports itself.
    core::Duration reportInterval { std::chrono::seconds(1) };
    // From the request to stop until the process is killed.
    core::Duration gracePeriod { std::chrono::seconds(5) };
    core::Duration maxFlowAge { std::chrono::seconds(60) };
    // Bound of the log for each kind of event.
    std::uint32_t logLinesPerSecond { 10 };
    // Serves metrics as text over HTTP; port 0 for none.
    core::Endpoint metrics;

    // Peer addresses of the seeds.
    std::vector<core::NodeId> seedNodes() const;
};

struct DirectSettingsReading {
    std::optional<DirectSettings> settings;
    std::vector<core::Problem> problems;
};

enum class DirectRole : std::uint8_t {
    Balancer,
    Controller,
};

DirectSettingsReading readDirectSettings(const nlohmann::json&, DirectRole);

} // namespace ibisgw::settings
