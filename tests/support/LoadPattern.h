#pragma once

#include "ibisgw/core/Problem.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/direct/RouteConfiguration.h"

#include <optional>
#include <vector>

namespace support {

// Requests of one route, with Poisson arrivals.
struct RoutePattern {
    ibisgw::direct::RouteKind kind { ibisgw::direct::RouteKind::Idempotent };
    double requestsPerSecond { 100 };
    ibisgw::core::Duration serviceTime { std::chrono::milliseconds(15) };
    ibisgw::core::Duration latencyObjective { std::chrono::milliseconds(100) };
    ibisgw::core::Duration deadline { std::chrono::milliseconds(1500) };
    // Number of callers that keep their flow open for many requests; 0 if each request opens a flow of its own.
    unsigned persistentFlows { 0 };
    // A response of one packet isn't acknowledged before the next request on the flow.
    unsigned responsePackets { 2 };
    std::uint32_t priority { 1 };
    std::uint16_t requestBytes { 200 };
};

// All balancers lose their state at the same moment. Each starts within `startSpread` after `processesUpAt` and gets
// its configuration and directory at `stateAt`.
struct OutagePattern {
    ibisgw::core::Duration at;
    ibisgw::core::Duration processesUpAt;
    ibisgw::core::Duration startSpread;
    ibisgw::core::Duration stateAt;
};

// Some upstreams need several times as long for each request.
struct SlowdownPattern {
    ibisgw::core::Duration from;
    ibisgw::core::Duration until;
    unsigned upstreams { 0 };
    double factor { 5 };
};

// The upstreams of the balancers' zone fail together: their VMs refuse all packets. They return as new incarnations.
struct ZoneFailurePattern {
    ibisgw::core::Duration from;
    ibisgw::core::Duration until;
};

struct BurstPattern {
    ibisgw::core::Duration from;
    ibisgw::core::Duration until;
    double factor { 3 };
};

// Load on one service and the faults during it. Times count from the start of the replay.
struct LoadPattern {
    unsigned balancers { 10 };
    unsigned upstreams { 14 };
    // How many of the upstreams are in another zone than the balancers; the last ones.
    unsigned remoteUpstreams { 0 };
    std::uint16_t slots { 2 };
    std::size_t queueLimit { 8 };
    ibisgw::core::Duration length { std::chrono::seconds(10) };
    std::vector<RoutePattern> routes;
    // Share of the requests that have seven times the work.
    double tailShare { 0 };
    std::optional<OutagePattern> outage;
    std::optional<SlowdownPattern> slowdown;
    std::optional<BurstPattern> burst;
    std::optional<ZoneFailurePattern> zoneFailure;
    // Rate of each balancer's link; 0 for no limit.
    std::uint64_t linkBytesPerSecond { 0 };
};

// Returns what is wrong with a pattern; empty for a valid one.
std::vector<ibisgw::core::Problem> findProblems(const LoadPattern&);

// Patterns shared by tests and measures: a gateway with 10 balancers, 14 upstreams and callers on long flows, and a
// workshop with 13 balancers whose orders each open a flow.
LoadPattern gatewayPattern(double loadFactor);
LoadPattern workshopPattern(double loadFactor);
// The balancers of one of the workshop's zones, with its share of the load and the upstreams of all zones.
LoadPattern workshopZonePattern();
// The balancers of one zone of a museum guide, with its share of the load and the upstreams of all three zones.
LoadPattern guideZonePattern();
// The same with three kinds of requests, so long that links of 2 Mbit/s are full at ten times the callers, and with
// upstreams that have slots for all of them.
LoadPattern fullLinkPattern();
// Balance feed and repayment of docs/zone-failures-and-overload.md with `loadFactor` times the callers, one for each
// request per second on long flows, and 120 upstreams in one zone. With another number of upstreams the load changes in
// proportion.
LoadPattern balanceFeedPattern(unsigned balancers, double loadFactor, unsigned upstreams = 120);

} // namespace support
