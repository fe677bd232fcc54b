#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/direct/ColdStartLimit.h"
#include "ibisgw/direct/FlowTracker.h"
#include "ibisgw/direct/InstanceSelector.h"
#include "ibisgw/direct/ResponseMonitor.h"
#include "ibisgw/direct/RouteConfiguration.h"
#include "ibisgw/direct/ZoneOutageMonitor.h"
#include "ibisgw/upstream/ZoneEvacuations.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

// Selects the upstream of a new flow: draws the service, collects its upstreams that may get new flows, marks those
// that are suspect and lets the InstanceSelector choose.
class FlowPlacer {
public:
    FlowPlacer(core::ZoneName, const upstream::InstanceDirectory&, const InstanceSelector&, core::RandomSource&,
        FlowTracker&, const ResponseMonitor&, const LinkCongestion&);

    // Returns null if no upstream of the service may get new flows. `silent` has not responded to an earlier packet
    // that opens the flow; it is selected only if no other is left. So is the upstream of the caller's last open,
    // unless that was confirmed.
    const upstream::InstanceRecord* place(
        const core::FlowKey&, const Route&, std::optional<upstream::InstanceId> silent, core::TimePoint now);
    // Upstreams of these zones get no new flows.
    void setEvacuations(upstream::ZoneEvacuations);
    const upstream::ZoneEvacuations& evacuations() const { return m_evacuations; }
    // Whether the service of the last placement has ready upstreams, all of them in evacuated zones.
    bool isServiceEvacuated() const { return m_isServiceEvacuated; }
    // Whether the service of the last placement has upstreams that may get new flows, all of them cold and without a
    // permit.
    bool isServiceCold() const { return m_isServiceCold; }
    // Number of upstreams that the last placement chose from.
    std::size_t candidateCount() const { return m_candidates.size(); }
    // The caller has received a response from the flow's upstream.
    void confirm(const core::FlowKey&);
    // Removes opens that are too old to matter.
    void expire(core::TimePoint now);
    ColdStartLimit& coldStarts() { return m_coldStarts; }
    ZoneOutageMonitor& zoneOutages() { return m_zoneOutages; }

private:
    // The newest flow of a caller address for which no packet after the opening one has arrived.
    struct UnconfirmedOpen {
        core::FlowKey flow;
        upstream::InstanceId instance;
        core::TimePoint at;
    };
    using Records = std::vector<const upstream::InstanceRecord*>;
    // The ready upstreams of a service.
    struct ServiceUpstreams {
        // Those that may get new flows.
        Records records;
        std::size_t evacuated { 0 };
    };

    const core::ServiceName& drawService(const Route&);
    const ServiceUpstreams& upstreamsOf(const core::ServiceName&);
    void indexUpstreams();
    void collectCandidates(const Records&, std::optional<upstream::InstanceId> excluded, core::TimePoint now);
    // Whether the upstream hasn't responded to an opening packet soon; counts as evidence for the failure of its zone.
    bool isSilent(const InstanceLoad&, core::TimePoint now) const;
    // Whether the upstream answers neither probes nor opening packets.
    bool isUnreachable(const upstream::InstanceRecord&, const InstanceLoad&, core::TimePoint now) const;
    bool isSuspect(const upstream::InstanceRecord&, const InstanceLoad&, core::TimePoint now) const;
    // Whether an upstream of a service with a limit may get no new flow because it is cold or may have been restarted.
    bool isTooCold(const upstream::InstanceRecord&, const InstanceLoad&, core::TimePoint now);
    // Updates the judgement of the zones of a service and marks the candidates of zones whose upstreams have failed
    // together, except for a flow that tries such a zone.
    void suspectFailedZones(const core::ServiceName&, const Records&, core::TimePoint now);
    ZoneObservations observe(const Records&, core::TimePoint now);
    std::optional<upstream::InstanceId> unconfirmedInstanceOf(const core::FlowKey&, core::TimePoint now) const;

    core::ZoneName m_zone;
    const upstream::InstanceDirectory& m_directory;
    const InstanceSelector& m_selector;
    core::RandomSource& m_random;
    FlowTracker& m_flows;
    const ResponseMonitor& m_responses;
    const LinkCongestion& m_congestion;
    // By IP address of the caller.
    std::unordered_map<std::uint32_t, UnconfirmedOpen> m_unconfirmedOpens;
    upstream::ZoneEvacuations m_evacuations;
    bool m_isServiceEvacuated { false };
    ColdStartLimit m_coldStarts;
    bool m_isServiceCold { false };
    // As of the directory's change m_indexedChange and the number of its removals then.
    std::unordered_map<core::ServiceName, ServiceUpstreams> m_upstreamsByService;
    std::uint64_t m_indexedChange { 0 };
    std::uint64_t m_indexedRemovals { 0 };
    std::vector<Candidate> m_candidates;
    ZoneOutageMonitor m_zoneOutages;
};

} // namespace ibisgw::direct
