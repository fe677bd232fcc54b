#include "ibisgw/runtime/ProcessMonitor.h"

#include "ibisgw/adapters/Log.h"
#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/adapters/PeerDatagrams.h"
#include "ibisgw/runtime/EventLog.h"

namespace ibisgw::runtime {

ProcessMonitor::ProcessMonitor(adapters::MetricsRegistry& metrics, core::Duration tickPeriod)
    : m_metrics(metrics)
    , m_loopDelay(metrics.latency("ibisgw_loop_delay_seconds", "How late the periodic turns of the event loop came"))
    , m_tickPeriod(tickPeriod)
{
}

core::Duration ProcessMonitor::recordTick(core::TimePoint now)
{
    const auto gap = m_lastTickAt ? now - *m_lastTickAt : core::Duration::zero();
    if (m_lastTickAt)
        m_loopDelay.record(gap - m_tickPeriod);
    m_lastTickAt = now;
    return gap;
}

void ProcessMonitor::updateCounters(const EventLog& events, const adapters::PeerDatagrams& peers)
{
    m_metrics.counter("ibisgw_log_lines_left_out_total", "Events over the rate of their kind")
        = events.suppressedCount();
    m_metrics.counter("ibisgw_log_lines_dropped_total", "Lines that standard output did not take")
        = adapters::droppedLogLines();
    m_metrics.counter("ibisgw_peer_bytes_sent_total", "Bytes sent to other daemons") = peers.counters().bytesSent;
}

} // namespace ibisgw::runtime
