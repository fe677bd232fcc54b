#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Problem.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace ibisgw::direct {

// Number that the operator gives a configuration; the highest one is in force. 0 means none.
using ConfigurationVersion = std::uint64_t;

enum class RouteKind : std::uint8_t {
    Idempotent,
    NonIdempotent,
    Upload, // not idempotent, with a large body
    Download, // idempotent, with a large answer
};

// Whether a request may run more than once.
constexpr bool isIdempotent(RouteKind kind)
{
    return kind == RouteKind::Idempotent || kind == RouteKind::Download;
}

// A service that takes a share of the new flows of a route.
struct RouteTarget {
    core::ServiceName service;
    std::uint32_t weight { 1 };
};

// Where new flows to one service address go.
struct Route {
    std::string name;
    core::Endpoint address;
    RouteKind kind { RouteKind::Idempotent };
    // 0 is the highest.
    std::uint32_t priority { 0 };
    core::Duration timeout { 0 };
    core::Duration latencyObjective { 0 };
    std::vector<RouteTarget> targets;

    std::uint64_t totalWeight() const;
};

// One whole configuration as an operator sends it.
struct RouteConfiguration {
    ConfigurationVersion version { 0 };
    std::vector<Route> routes;
    std::vector<core::ServiceName> services;
    core::Duration idleTimeout { std::chrono::seconds(15) };
};

// Faults that make a configuration unusable: unknown services, routes with the same address, no
// timeout, weights that are all zero. Empty when it may be put in force.
std::vector<core::Problem> findProblems(const RouteConfiguration&);

} // namespace ibisgw::direct
