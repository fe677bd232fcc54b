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

// Metrics that balancers and controllers share: delay of the event loop, lost log lines, and bytes sent to other
// daemons.
class ProcessMonitor {
public:
    ProcessMonitor(adapters::MetricsRegistry&, core::Duration tickPeriod);

    // Must be called at each periodic tick of the event loop. Returns the time since the previous tick, or zero for the
    // first one.
    core::Duration recordTick(core::TimePoint now);
    void updateCounters(const EventLog&, const adapters::PeerDatagrams&);

private:
    adapters::MetricsRegistry& m_metrics;
    // Owned by the metrics registry.
    adapters::LatencyHistogram& m_loopDelay;
    core::Duration m_tickPeriod;
    std::optional<core::TimePoint> m_lastTickAt;
};

} // namespace ibisgw::runtime
