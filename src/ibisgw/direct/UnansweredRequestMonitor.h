#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/direct/RouteConfiguration.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

// Detects upstreams that accept flows and don't answer their requests, although their health check succeeds. A request
// without an answer for twice its latency objective counts against the upstream while nearly all other requests of its
// route are answered; otherwise the answers of the route can't be seen, or the fault is common to all upstreams. The
// upstream gets no new flows for a time that doubles with each further unanswered request and ends with an answer.
// What other balancers have detected counts as well, until it is no longer repeated.
class UnansweredRequestMonitor {
public:
    // Sets the routes whose requests count, and keeps what is known of those set before.
    void setRoutes(const std::vector<Route>&);
    void noteAnswered(core::Endpoint route, upstream::InstanceId);
    void noteUnanswered(core::Endpoint route, upstream::InstanceId, core::TimePoint now);
    // The upstream has answered a request of any route, also a late one.
    void noteProgress(upstream::InstanceId id) { m_instances.erase(id); }
    // Other balancers have reported the upstream as failing. `position` from 0 to 1 is this balancer's place in the
    // order in which balancers try the upstream again once the reports cease.
    void noteShared(upstream::InstanceId, double position, core::TimePoint now);
    bool isFailing(upstream::InstanceId, core::TimePoint now) const;
    void remove(upstream::InstanceId id) { m_instances.erase(id); }

    // Returns the upstreams to report to the other balancers now, a few at a time.
    std::vector<upstream::InstanceId> takeReports(core::TimePoint now);
    std::size_t failingInstances(core::TimePoint now) const;

private:
    struct RouteAnswers {
        // Share of recent requests that were answered.
        double answeredShare { 0 };
        std::uint32_t samples { 0 };
    };
    struct State {
        core::Duration period { 0 };
        core::TimePoint avoidedUntil {};
        core::TimePoint sharedUntil {};
        core::TimePoint nextReport {};
    };

    // Updates the share of answered requests and returns whether a missing answer is evidence.
    bool record(core::Endpoint route, bool isAnswered);
    static bool isFailing(const State& state, core::TimePoint now)
    {
        return now < state.avoidedUntil || now < state.sharedUntil;
    }

    // Holds the addresses of routes only, since a caller may put any into its packets.
    std::unordered_map<core::Endpoint, RouteAnswers> m_routes;
    std::unordered_map<upstream::InstanceId, State> m_instances;
    std::vector<upstream::InstanceId> m_reports;
    core::TimePoint m_nextReports {};
};

} // namespace ibisgw::direct
