#include "ibisgw/runtime/ProcessMonitor.h"

#include "ibisgw/adapters/Log.h"
#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/adapters/PeerDatagrams.h"
#include "ibisgw/runtime/EventLog.h"

namespace ibisgw::runtime {

ProcessMonitor::ProcessMonitor(adapters::MetricsRegistry& metrics, core::Duration tickPeriod)
    : m_metrics(metrics)
    , m_loopDelay(metrics.latency("ibisgw_loop_delay_seconds", "Delay of the periodic ticks of the event loop"))
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
    m_metrics.counter("ibisgw_log_lines_left_out_total", "Log lines suppressed by the rate limit of their event")
        = events.suppressedCount();
    m_metrics.counter("ibisgw_log_lines_dropped_total", "Log lines dropped because standard output was blocked")
        = adapters::droppedLogLines();
    m_metrics.counter("ibisgw_peer_bytes_sent_total", "Bytes sent to other daemons") = peers.counters().bytesSent;
}

} // namespace ibisgw::runtime
