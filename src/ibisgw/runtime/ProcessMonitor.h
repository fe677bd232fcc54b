#pragma once

#include "ibisgw/core/Time.h"

#include <optional>

namespace ibisgw::adapters {
class LatencyHistogram;
class MetricsRegistry;
class PeerDatagrams;
} // namespace ibisgw::adapters

namespace ibisgw::runtime {

class EventLog;

// Metrics that a balancer and a controller have in common: the lateness of the event loop, the log and the messages to
// other daemons.
class ProcessMonitor {
public:
    ProcessMonitor(adapters::MetricsRegistry&, core::Duration turnPeriod);

    // Call at each periodic turn of the event loop. The time since the turn before; zero at the first one.
    core::Duration noteTurn(core::TimePoint now);
    void updateCounters(const EventLog&, const adapters::PeerDatagrams&);

private:
    adapters::MetricsRegistry& m_metrics;
    // Kept by the registry.
    adapters::LatencyHistogram& m_loopDelay;
    core::Duration m_turnPeriod;
    std::optional<core::TimePoint> m_lastTurnAt;
};

} // namespace ibisgw::runtime
