#include "ibisgw/runtime/DecisionJournal.h"

#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/LogFields.h"
#include "ibisgw/runtime/PacketFormat.h"

namespace ibisgw::runtime {

namespace {

// Requests named in batches for each line a second that the settings allow.
constexpr std::uint32_t requestsPerLine = 25;

} // namespace

DecisionJournal::DecisionJournal(EventLog& events, const PacketFormat& packetFormat, adapters::MetricsRegistry& metrics,
    std::uint32_t logLinesPerSecond)
    : m_events(events)
    , m_packetFormat(packetFormat)
    , m_requests(logLinesPerSecond * requestsPerLine)
    , m_openTime(metrics.latency("ibisgw_open_seconds", "From an opening packet to the next packet of the caller"))
    , m_answerTime(metrics.latency(
          "ibisgw_answer_seconds", "From an opening packet or a request to the caller's acknowledgement of new data"))
{
}

void DecisionJournal::setLinesPerSecond(std::uint32_t linesPerSecond)
{
    m_requests.setEntriesPerSecond(linesPerSecond * requestsPerLine);
}

void DecisionJournal::flush(direct::ConfigurationVersion version, core::TimePoint now)
{
    m_requests.flush(m_events, version, now);
}

void DecisionJournal::note(const direct::FlowSegment& segment, const direct::ForwardDecision& decision,
    std::span<const std::byte> packet, direct::ConfigurationVersion version, core::TimePoint now)
{
    if (decision.openTime)
        m_openTime.record(*decision.openTime);
    if (decision.answerTime)
        m_answerTime.record(*decision.answerTime);
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
    else if (decision.isRepeated)
        m_events.record(Event::RequestRepeated, now, fields);
    else
        noteSuccess(segment, decision, packet, fields, now);
}

template <typename Fields>
void DecisionJournal::noteSuccess(const direct::FlowSegment& segment, const direct::ForwardDecision& decision,
    std::span<const std::byte> packet, Fields fields, core::TimePoint now)
{
    const bool isPlaced = decision.reason == direct::ForwardReason::Placed;
    if (!isPlaced && !decision.startsWork)
        return;
    if (m_events.record(isPlaced ? Event::FlowPlaced : Event::RequestForwarded, now, fields))
        return;
    const auto request = isPlaced ? std::string() : m_packetFormat.requestId(packet);
    m_requests.add(segment.flow, request, decision.instance, now);
}

} // namespace ibisgw::runtime
