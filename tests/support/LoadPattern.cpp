#include "support/LoadPattern.h"

namespace support {

using namespace ibisgw;
using namespace ibisgw::direct;
using namespace std::chrono_literals;

std::vector<core::Problem> findProblems(const LoadPattern& pattern)
{
    std::vector<core::Problem> problems;
    if (pattern.balancers == 0 || pattern.upstreams == 0 || pattern.slots == 0)
        problems.push_back({ "/", "needs at least one balancer, upstream and slot" });
    if (pattern.routes.empty())
        problems.push_back({ "/routes", "is empty; add a route" });
    for (const auto& it : pattern.routes) {
        if (it.requestsPerSecond <= 0 || it.serviceTime <= 0ms || it.deadline <= it.latencyObjective)
            problems.push_back(
                { "/routes", "needs a positive rate and service time and a deadline after the objective" });
    }
    const auto& outage = pattern.outage;
    if (outage && (outage->at > outage->processesUpAt || outage->processesUpAt > outage->stateAt))
        problems.push_back({ "/outage", "needs its times in order: at, processesUpAt, stateAt" });
    if (pattern.remoteUpstreams > pattern.upstreams)
        problems.push_back({ "/remoteUpstreams", "is more than the number of upstreams" });
    if (pattern.slowdown && pattern.slowdown->upstreams > pattern.upstreams)
        problems.push_back({ "/slowdown", "slows more upstreams than there are" });
    return problems;
}

LoadPattern gatewayPattern(double loadFactor)
{
    LoadPattern pattern;
    pattern.routes = {
        { RouteKind::Idempotent, 292 * loadFactor, 15ms, 100ms, 1500ms, 290, 2 },
        { RouteKind::NonIdempotent, 83 * loadFactor, 20ms, 120ms, 2000ms, 80, 1 },
    };
    return pattern;
}

LoadPattern workshopPattern(double loadFactor)
{
    LoadPattern pattern;
    pattern.balancers = 13;
    pattern.routes = {
        { RouteKind::Idempotent, 292 * loadFactor, 22ms, 120ms, 1200ms, 290, 2 },
        { RouteKind::NonIdempotent, 83 * loadFactor, 29ms, 150ms, 1500ms, 0, 1 },
    };
    return pattern;
}

LoadPattern workshopZonePattern()
{
    auto pattern = workshopPattern(0.25);
    pattern.balancers = 3;
    pattern.remoteUpstreams = 10;
    return pattern;
}

LoadPattern guideZonePattern()
{
    LoadPattern pattern;
    pattern.balancers = 28;
    pattern.upstreams = 120;
    pattern.remoteUpstreams = 80;
    pattern.routes = {
        { RouteKind::Idempotent, 328, 15ms, 400ms, 2000ms, 0, 2 },
        { RouteKind::NonIdempotent, 162, 20ms, 400ms, 2000ms, 0, 1 },
    };
    return pattern;
}

LoadPattern fullLinkPattern()
{
    auto pattern = guideZonePattern();
    pattern.linkBytesPerSecond = 250'000;
    pattern.remoteUpstreams = 0;
    pattern.slots = 4;
    pattern.routes[0].priority = 0;
    pattern.routes.push_back({ RouteKind::Upload, 28, 5ms, 1200ms, 8000ms, 0, 2, 2 });
    for (auto& it : pattern.routes)
        it.requestBytes = 950;
    return pattern;
}

LoadPattern balanceFeedPattern(unsigned balancers, double loadFactor, unsigned upstreams)
{
    LoadPattern pattern;
    pattern.balancers = balancers;
    pattern.upstreams = upstreams;
    pattern.tailShare = 0.03;
    const double scale = loadFactor * upstreams / 120;
    pattern.routes = {
        { RouteKind::Idempotent, 1155 * scale, 47ms, 400ms, 5000ms, static_cast<unsigned>(1155 * scale), 1 },
        { RouteKind::NonIdempotent, 330 * scale, 61ms, 400ms, 6000ms, 0, 1 },
    };
    return pattern;
}

} // namespace support
