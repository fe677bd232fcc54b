#pragma once

#include "ibisgw/core/PcgRandomSource.h"
#include "support/ReplayBalancer.h"
#include "support/ReplayCaller.h"
#include "support/ReplayReport.h"
#include "support/ReplayUpstream.h"

#include <memory>

namespace support {

// Replays a load pattern in virtual time: routers that spread flows over balancers by a hash, balancers that decide
// with what each of them knows, upstreams with slots and a queue, and callers that retransmit and try again.
class LoadReplay {
public:
    // Throws std::invalid_argument if the pattern isn't valid.
    LoadReplay(const LoadPattern&, std::uint64_t seed);

    // Runs the whole pattern. Call once.
    ReplayReport run();

private:
    struct Route {
        RoutePattern pattern;
        ibisgw::core::Endpoint address;
        std::vector<std::unique_ptr<ReplayCaller>> callers;
    };

    void addUpstreams();
    void addRoute(const RoutePattern&);
    void scheduleFaults();
    void scheduleZoneFailure(const ZoneFailurePattern&);
    void returnZone();
    std::size_t localUpstreams() const { return m_pattern.upstreams - m_pattern.remoteUpstreams; }
    void scheduleTicks(ibisgw::core::TimePoint until);
    void scheduleReleases(ibisgw::core::TimePoint until);
    void scheduleArrival(std::size_t route);
    void startRequest(std::size_t route);
    ReplayCaller& idleCaller(Route&);
    void addCaller(Route&);
    double loadFactor() const;

    ReplayBalancer& balancerOf(const ibisgw::core::FlowKey&);
    void deliver(const ibisgw::direct::FlowSegment&, const ibisgw::direct::ForwardDecision&);
    void giveState(ReplayBalancer&);

    LoadPattern m_pattern;
    ibisgw::core::PcgRandomSource m_random;
    MessageQueue m_queue;
    ibisgw::core::TimePoint m_start;
    std::vector<std::unique_ptr<ReplayBalancer>> m_balancers;
    std::vector<std::unique_ptr<ReplayUpstream>> m_upstreams;
    std::vector<ibisgw::upstream::InstanceReport> m_reports;
    std::shared_ptr<ibisgw::direct::RouteConfiguration> m_configuration;
    std::vector<Route> m_routes;
    // By IP address.
    std::unordered_map<std::uint32_t, ReplayCaller*> m_callers;
    // Newest request that each flow has delivered to its upstream, which ignores retransmissions of it.
    std::unordered_map<ibisgw::core::FlowKey, std::uint32_t> m_delivered;
    ReplayReport m_report;
};

} // namespace support
