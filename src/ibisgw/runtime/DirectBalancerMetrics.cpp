#include "ibisgw/runtime/DirectBalancer.h"
#include "ibisgw/runtime/LogFields.h"

namespace ibisgw::runtime {

std::string DirectBalancer::renderMetrics()
{
    for (std::size_t n = 0; n < direct::forwardReasonCount; ++n) {
        const auto reason = static_cast<direct::ForwardReason>(n);
        m_metrics.counter("ibisgw_packets_total", "Packets of callers by forwarding reason",
            { { "reason", std::string(nameOf(reason)) } })
            = m_forwarder.count(reason);
    }
    m_metrics.counter("ibisgw_malformed_packets_total", "Datagrams that are not valid packets of a caller")
        = m_malformedPackets;
    m_metrics.counter("ibisgw_lost_flows_reset_total", "Idle flows reset because their upstream is gone")
        = m_lostFlowsReset;
    m_metrics.counter("ibisgw_early_packets_expired_total",
        "Held packets that expired before their upstream or configuration arrived")
        = m_pending.expiredCount();
    m_metrics.counter("ibisgw_paced_copies_total", "Duplicates of queued packets that were dropped")
        = m_pacer.droppedCopies();
    m_metrics.counter("ibisgw_paced_overflow_total", "Packets dropped because the egress queue was full")
        = m_pacer.droppedFull();
    m_metrics.counter("ibisgw_probes_total", "TCP probes of upstreams") = m_prober.probeCount();
    m_processMonitor.updateCounters(m_events, m_peers);
    m_metrics.gauge("ibisgw_open_flows", "Open flows that this balancer has seen")
        = static_cast<double>(m_forwarder.openFlows());
    m_metrics.gauge("ibisgw_egress_queue_bytes", "Bytes in the egress queue")
        = static_cast<double>(m_pacer.queuedBytes());
    m_metrics.gauge("ibisgw_configuration_version", "Configuration version in force")
        = static_cast<double>(m_forwarder.version());
    m_metrics.gauge("ibisgw_ready", "1 while this balancer accepts new flows") = isReady() ? 1 : 0;
    m_metrics.gauge("ibisgw_reachable_controllers", "Controllers that have responded recently")
        = static_cast<double>(m_subscriber.reachableControllers(m_loop.now()));
    m_metrics.gauge("ibisgw_longest_stall_seconds", "Longest time between two ticks of the event loop")
        = core::toSeconds(m_longestStall);
    updateUpstreamGauges(m_directory, m_metrics);
    return m_metrics.render();
}

} // namespace ibisgw::runtime
