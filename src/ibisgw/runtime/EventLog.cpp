#include "ibisgw/runtime/EventLog.h"

#include <algorithm>

namespace ibisgw::runtime {

namespace {

// Successful requests are sampled at this share of the configured rate. Failures and state changes get the full rate.
constexpr double successRateShare = 0.1;

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
    auto& state = m_states[static_cast<std::size_t>(event)];
    ++state.count;
    const double rate = m_linesPerSecond * (isSuccess(event) ? successRateShare : 1.0);
    const auto elapsed = core::toSeconds(now - state.refilledAt);
    state.tokens
        = state.isInitialized ? std::min(state.tokens + elapsed * rate, std::max(1.0, rate)) : std::max(1.0, rate);
    state.isInitialized = true;
    state.refilledAt = now;
    if (state.tokens < 1.0) {
        ++state.suppressedSinceLastLine;
        ++m_suppressedCount;
        return false;
    }
    state.tokens -= 1.0;
    return true;
}

void EventLog::write(Event event, core::TimePoint now, nlohmann::json fields)
{
    auto& state = m_states[static_cast<std::size_t>(event)];
    if (state.suppressedSinceLastLine > 0)
        fields["left_out_before"] = state.suppressedSinceLastLine;
    state.suppressedSinceLastLine = 0;
    // Monotonic time, which orders the lines of a process even if the wall clock is adjusted.
    fields["steady"] = core::toSeconds(now.time_since_epoch());
    adapters::log(levelOf(event), nameOf(event), std::move(fields));
}

} // namespace ibisgw::runtime
