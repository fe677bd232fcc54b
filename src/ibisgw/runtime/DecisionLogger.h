#pragma once

#include "ibisgw/direct/FlowForwarder.h"
#include "ibisgw/runtime/RequestBatch.h"

#include <cstddef>
#include <span>

namespace ibisgw::adapters {
class LatencyHistogram;
class MetricsRegistry;
} // namespace ibisgw::adapters

namespace ibisgw::runtime {

class EventLog;
class PacketFormat;

// Logs the forwarding decisions for packets of callers, and records the latency of opens and answers. Refusals, resets
// and retransmissions get a log line each. Successes are sampled; those outside the sample are listed in batches.
class DecisionLogger {
public:
    DecisionLogger(EventLog&, const PacketFormat&, adapters::MetricsRegistry&, std::uint32_t logLinesPerSecond);

    void setLinesPerSecond(std::uint32_t);
    void log(const direct::FlowSegment&, const direct::ForwardDecision&, std::span<const std::byte> packet,
        direct::ConfigurationVersion, core::TimePoint now);
    // Writes the batched entries. Must be called several times a second.
    void flush(direct::ConfigurationVersion, core::TimePoint now);

private:
    template <typename Fields>
    void logSuccess(const direct::FlowSegment&, const direct::ForwardDecision&, std::span<const std::byte> packet,
        Fields, core::TimePoint now);

    EventLog& m_events;
    const PacketFormat& m_packetFormat;
    RequestBatch m_requests;
    // Owned by the metrics registry.
    adapters::LatencyHistogram& m_openLatency;
    adapters::LatencyHistogram& m_answerLatency;
};

} // namespace ibisgw::runtime
