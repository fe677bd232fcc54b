#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Problem.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ibisgw::direct {

// Version that the operator assigns to a configuration. The highest version received is in force; 0 means that there
// is no configuration yet.
using ConfigurationVersion = std::uint64_t;

enum class RouteKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Upload, // not idempotent, with a large body
    Download, // idempotent, with a large response
};

// Whether a request may be executed more than once.
constexpr bool isIdempotent(RouteKind kind)
{
    return kind == RouteKind::Idempotent || kind == RouteKind::Download;
}

// A service that receives new flows of a route in proportion to its weight.
struct RouteTarget {
    core::ServiceName service;
    std::uint32_t weight { 1 };
};

// Maps a service address to the services that receive its new flows.
struct Route {
    std::string name;
    core::Endpoint address;
    RouteKind kind { RouteKind::Idempotent };
    // 0 is the highest priority.
    std::uint32_t priority { 0 };
    core::Duration timeout { 0 };
    core::Duration latencyObjective { 0 };
    std::vector<RouteTarget> targets;

    std::uint64_t totalWeight() const;
};

// A service that routes may name, with the limit of the cold starts of its upstreams.
struct ServiceConfiguration {
    core::ServiceName name;
    // New requests per second that a cold upstream may take; 0 for no limit.
    double warmUpPerSecond { 0 };
    // Time for which an upstream is cold after its start. Applied only where no report says how long it lasts.
    core::Duration coldStart { 0 };

    bool operator==(const ServiceConfiguration&) const = default;
};

// A complete configuration as submitted by an operator.
struct RouteConfiguration {
    ConfigurationVersion version { 0 };
    std::vector<Route> routes;
    std::vector<ServiceConfiguration> services;
    core::Duration idleTimeout { std::chrono::seconds(15) };
};

// Returns the reasons why a configuration can't be applied: version 0, unknown services, routes with the same address,
// routes without a timeout or without a weight above zero. Empty for a valid configuration.
std::vector<core::Problem> findProblems(const RouteConfiguration&);

} // namespace ibisgw::direct
