#include "ibisgw/runtime/DirectController.h"
#include "ibisgw/runtime/LogFields.h"

namespace ibisgw::runtime {

std::string DirectController::renderMetrics()
{
    const auto& raft = m_register.raft();
    m_metrics.gauge("ibisgw_configuration_version", "Version in force") = static_cast<double>(m_register.version());
    m_metrics.gauge("ibisgw_raft_term", "Term of the agreement") = static_cast<double>(raft.term());
    m_metrics.gauge("ibisgw_raft_leader", "1 while this controller leads")
        = raft.role() == configuration::RaftRole::Leader ? 1 : 0;
    m_metrics.gauge("ibisgw_raft_accepting", "1 while this controller accepts configurations")
        = raft.isAccepting() ? 1 : 0;
    m_metrics.gauge("ibisgw_raft_halted", "1 while the disk refuses writes")
        = raft.role() == configuration::RaftRole::Halted ? 1 : 0;
    m_metrics.gauge("ibisgw_raft_voters", "Controllers that vote")
        = static_cast<double>(m_register.membership().voterCount());
    m_metrics.gauge("ibisgw_raft_absent", "Removed controllers that are sought, as they may be partitioned")
        = static_cast<double>(m_register.membership().absent.size());
    m_metrics.gauge("ibisgw_subscribers", "Daemons that follow this controller")
        = static_cast<double>(m_feed.subscriberCount());
    m_metrics.gauge("ibisgw_reachable_controllers", "Controllers that have answered lately")
        = static_cast<double>(m_subscriber.reachableControllers(m_loop.now()));
    for (const auto event : { Event::ConfigurationAcknowledged, Event::ConfigurationUndecided,
             Event::ConfigurationInvalid, Event::ReadRefused, Event::ReportRefused, Event::ReportUnconfirmed })
        m_metrics.counter("ibisgw_calls_total", "Calls of operators and upstreams by outcome",
            { { "outcome", std::string(nameOf(event)) } })
            = m_events.count(event);
    m_evacuationCalls.updateMetrics();
    m_processMonitor.updateCounters(m_events, m_peers);
    updatePermitCounter(m_metrics, "granted", m_coldStarts.grantedPermits());
    updateUpstreamGauges(m_directory, m_metrics);
    return m_metrics.render();
}

} // namespace ibisgw::runtime
