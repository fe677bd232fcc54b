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

// Writes to the log how the packets of callers were handled, and counts how long opens and answers took. Refusals,
// resets and repeats get lines of their own; successes are sampled, and named in batches beyond the sample.
class DecisionJournal {
public:
    DecisionJournal(EventLog&, const PacketFormat&, adapters::MetricsRegistry&, std::uint32_t logLinesPerSecond);

    void setLinesPerSecond(std::uint32_t);
    void note(const direct::FlowSegment&, const direct::ForwardDecision&, std::span<const std::byte> packet,
        direct::ConfigurationVersion, core::TimePoint now);
    // Call several times a second.
    void flush(direct::ConfigurationVersion, core::TimePoint now);

private:
    template <typename Fields>
    void noteSuccess(const direct::FlowSegment&, const direct::ForwardDecision&, std::span<const std::byte> packet,
        Fields, core::TimePoint now);

    EventLog& m_events;
    const PacketFormat& m_packetFormat;
    RequestBatch m_requests;
    // Kept by the registry.
    adapters::LatencyHistogram& m_openTime;
    adapters::LatencyHistogram& m_answerTime;
};

} // namespace ibisgw::runtime
