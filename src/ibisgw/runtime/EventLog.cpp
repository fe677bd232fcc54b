#include "ibisgw/runtime/EventLog.h"

#include <algorithm>

namespace ibisgw::runtime {

namespace {

// Successes of requests are samples; failures and changes of what the process believes get the full rate.
constexpr double successShare = 0.1;

bool isSuccess(Event event)
{
    return event == Event::FlowPlaced || event == Event::RequestForwarded;
}

adapters::LogLevel levelOf(Event event)
{
    switch (event) {
    case Event::Failed:
    case Event::StoreFailed:
        return adapters::LogLevel::Error;
    case Event::FlowRefused:
    case Event::FlowReset:
    case Event::RequestRepeated:
    case Event::UpstreamUnresponsive:
    case Event::ControllersLost:
    case Event::ReloadRefused:
    case Event::ConfigurationUndecided:
    case Event::ReportUnconfirmed:
        return adapters::LogLevel::Warning;
    default:
        return adapters::LogLevel::Info;
    }
}

} // namespace

EventLog::EventLog(std::uint32_t linesPerSecond)
    : m_linesPerSecond(linesPerSecond)
{
}

bool EventLog::admit(Event event, core::TimePoint now)
{
    auto& kind = m_kinds[static_cast<std::size_t>(event)];
    ++kind.count;
    const double rate = m_linesPerSecond * (isSuccess(event) ? successShare : 1.0);
    const auto elapsed = core::toSeconds(now - kind.refilledAt);
    kind.credit = kind.isUsed ? std::min(kind.credit + elapsed * rate, std::max(1.0, rate)) : std::max(1.0, rate);
    kind.isUsed = true;
    kind.refilledAt = now;
    if (kind.credit < 1.0) {
        ++kind.leftOutBefore;
        ++m_leftOut;
        return false;
    }
    kind.credit -= 1.0;
    return true;
}

void EventLog::write(Event event, core::TimePoint now, nlohmann::json fields)
{
    auto& kind = m_kinds[static_cast<std::size_t>(event)];
    if (kind.leftOutBefore > 0)
        fields["left_out_before"] = kind.leftOutBefore;
    kind.leftOutBefore = 0;
    // Orders the lines of one process when the time of day jumps.
    fields["steady"] = core::toSeconds(now.time_since_epoch());
    adapters::log(levelOf(event), nameOf(event), std::move(fields));
}

} // namespace ibisgw::runtime
