#include "ibisgw/runtime/DecisionLogger.h"

#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/LogFields.h"
#include "ibisgw/runtime/PacketFormat.h"

namespace ibisgw::runtime {

namespace {

// Limit for batched entries a second, as a multiple of the configured log lines a second.
constexpr std::uint32_t batchEntriesPerLine = 25;

} // namespace

DecisionLogger::DecisionLogger(EventLog& events, const PacketFormat& packetFormat, adapters::MetricsRegistry& metrics,
    std::uint32_t logLinesPerSecond)
    : m_events(events)
    , m_packetFormat(packetFormat)
    , m_requests(logLinesPerSecond * batchEntriesPerLine)
    , m_openLatency(metrics.latency("ibisgw_open_seconds", "From an opening packet to the next packet of the caller"))
    , m_answerLatency(metrics.latency(
          "ibisgw_answer_seconds", "From an opening packet or a request to the caller's acknowledgement of new data"))
{
}

void DecisionLogger::setLinesPerSecond(std::uint32_t linesPerSecond)
{
    m_requests.setEntriesPerSecond(linesPerSecond * batchEntriesPerLine);
}

void DecisionLogger::flush(direct::ConfigurationVersion version, core::TimePoint now)
{
    m_requests.flush(m_events, version, now);
}

void DecisionLogger::log(const direct::FlowSegment& segment, const direct::ForwardDecision& decision,
    std::span<const std::byte> packet, direct::ConfigurationVersion version, core::TimePoint now)
{
    if (decision.openTime)
        m_openLatency.record(*decision.openTime);
    if (decision.responseTime)
        m_answerLatency.record(*decision.responseTime);
    const auto fields = [&] {
        nlohmann::json json { { "flow", textOf(segment.flow) }, { "reason", nameOf(decision.reason) },
            { "version", version } };
        if (decision.instance.value != 0)
            json["upstream"] = textOf(decision.instance);
        if (const auto id = m_packetFormat.requestId(packet); !id.empty())
            json["request"] = id;
        if (decision.candidates > 0) {
            json["candidates"] = decision.candidates;
            json["in_progress"] = decision.inProgress;
            json["open_flows"] = decision.openFlows;
        }
        return json;
    };
    if (decision.action == direct::ForwardAction::Reset)
        m_events.record(segment.isOpening ? Event::FlowRefused : Event::FlowReset, now, fields);
    else if (decision.action == direct::ForwardAction::Drop)
        m_events.record(Event::TokenUnknown, now, fields);
    else if (decision.reason == direct::ForwardReason::PlacedAgain)
        m_events.record(Event::FlowPlacedAgain, now, fields);
    else if (decision.isRetransmission)
        m_events.record(Event::RequestRepeated, now, fields);
    else
        logSuccess(segment, decision, packet, fields, now);
}

template <typename Fields>
void DecisionLogger::logSuccess(const direct::FlowSegment& segment, const direct::ForwardDecision& decision,
    std::span<const std::byte> packet, Fields fields, core::TimePoint now)
{
    const bool isPlaced = decision.reason == direct::ForwardReason::Placed;
    if (!isPlaced && !decision.startsRequest)
        return;
    if (m_events.record(isPlaced ? Event::FlowPlaced : Event::RequestForwarded, now, fields))
        return;
    const auto request = isPlaced ? std::string() : m_packetFormat.requestId(packet);
    m_requests.add(segment.flow, request, decision.instance, now);
}

} // namespace ibisgw::runtime
