#include "ibisgw/runtime/DirectBalancer.h"
#include "ibisgw/runtime/LogFields.h"

namespace ibisgw::runtime {

std::string DirectBalancer::renderMetrics()
{
    for (std::size_t n = 0; n < direct::forwardReasonCount; ++n) {
        const auto reason = static_cast<direct::ForwardReason>(n);
        m_metrics.counter("ibisgw_packets_total", "Packets of callers by how they were handled",
            { { "reason", std::string(nameOf(reason)) } })
            = m_forwarder.count(reason);
    }
    m_metrics.counter("ibisgw_malformed_packets_total", "Datagrams that are no packet of a caller")
        = m_malformedPackets;
    m_metrics.counter("ibisgw_lost_flows_reset_total", "Idle flows reset because their upstream has ended")
        = m_lostFlowsReset;
    m_metrics.counter(
        "ibisgw_early_packets_expired_total", "Packets held for an unknown upstream or configuration in vain")
        = m_pending.expiredCount();
    m_metrics.counter("ibisgw_paced_copies_total", "Copies of packets that were not sent again")
        = m_link.pacer().droppedRetransmissions();
    m_metrics.counter("ibisgw_paced_overflow_total", "Packets dropped because the queue to the link was full")
        = m_link.pacer().droppedFull();
    m_metrics.counter("ibisgw_probes_total", "Connections opened to find out whether an upstream answers")
        = m_prober.probeCount();
    m_processMonitor.updateCounters(m_events, m_peers);
    m_metrics.gauge("ibisgw_open_flows", "Flows that this balancer has seen and that are not over")
        = static_cast<double>(m_forwarder.openFlows());
    m_metrics.gauge("ibisgw_slow_upstreams", "Upstreams that respond several times more slowly than usual")
        = static_cast<double>(m_forwarder.slowInstances(m_loop.now()));
    m_metrics.gauge("ibisgw_failing_upstreams", "Upstreams that get no new flows because they answer no requests")
        = static_cast<double>(m_forwarder.unansweredRequests().failingInstances(m_loop.now()));
    m_metrics.gauge("ibisgw_zones_suspected", "Pairs of service and zone whose upstreams seem to have failed together")
        = static_cast<double>(m_forwarder.zoneOutages().suspectedZones());
    const auto& coldStarts = m_forwarder.coldStarts();
    m_metrics.gauge("ibisgw_cold_upstreams_limited", "Cold upstreams of services with a limit of cold starts")
        = static_cast<double>(coldStarts.limitedUpstreams());
    updatePermitCounter(m_metrics, "granted", coldStarts.grantedPermits());
    updatePermitCounter(m_metrics, "used", coldStarts.usedPermits());
    m_metrics.gauge("ibisgw_egress_queue_bytes", "Bytes that wait for the link")
        = static_cast<double>(m_link.pacer().queuedBytes());
    m_metrics.gauge("ibisgw_link_congested", "1 while silence of upstreams may be due to this balancer's link")
        = m_forwarder.congestion().isCongested(m_loop.now()) ? 1 : 0;
    m_metrics.counter("ibisgw_openings_rejected_total", "Opening packets rejected because the link is too busy",
        { { "reason", std::string(nameOf(direct::ForwardReason::LinkFull)) } })
        = m_forwarder.count(direct::ForwardReason::LinkFull);
    m_metrics.counter("ibisgw_evidence_discarded_total",
        "Observations not held against upstreams because the fault is probably this balancer's own")
        = m_forwarder.evidenceDiscarded();
    m_metrics.gauge("ibisgw_configuration_version", "Version in force") = static_cast<double>(m_forwarder.version());
    m_metrics.gauge(
        "ibisgw_configuration_unconfirmed", "1 while the version or the evacuated zones in force may be outdated")
        = m_configurationMonitor.mayPlaceFlows() ? 0 : 1;
    updateEvacuationGauges(m_forwarder.evacuations(), m_metrics);
    m_metrics.gauge("ibisgw_ready", "1 while new flows may come") = isReady() ? 1 : 0;
    m_metrics.gauge("ibisgw_reachable_controllers", "Controllers that have answered lately")
        = static_cast<double>(m_subscriber.reachableControllers(m_loop.now()));
    m_metrics.gauge("ibisgw_longest_stall_seconds", "Longest time between two turns of the event loop")
        = core::toSeconds(m_longestStall);
    updateUpstreamGauges(m_directory, m_metrics);
    return m_metrics.render();
}

} // namespace ibisgw::runtime
