#pragma once

#include "ibisgw/adapters/Log.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/runtime/Event.h"

#include <nlohmann/json.hpp>

#include <array>

namespace ibisgw::runtime {

// Writes events as JSON lines, with a token bucket for each event, so that a burst of one event neither fills the log
// nor suppresses the others. Each line holds the number of lines of the same event that were suppressed before it.
class EventLog {
public:
    explicit EventLog(std::uint32_t linesPerSecond);

    // Returns false if the line is suppressed by the rate limit. `fields()` is only called if the line is written.
    template <typename Fields> bool record(Event event, core::TimePoint now, Fields fields)
    {
        const bool isAdmitted = admit(event, now);
        if (isAdmitted)
            write(event, now, fields());
        return isAdmitted;
    }
    void record(Event event, core::TimePoint now)
    {
        record(event, now, [] { return nlohmann::json::object(); });
    }

    void setLinesPerSecond(std::uint32_t linesPerSecond) { m_linesPerSecond = linesPerSecond; }
    std::uint64_t count(Event event) const { return m_states[static_cast<std::size_t>(event)].count; }
    std::uint64_t suppressedCount() const { return m_suppressedCount; }

private:
    // Token bucket and counters of one event.
    struct EventState {
        double tokens { 0 };
        core::TimePoint refilledAt {};
        bool isInitialized { false };
        std::uint64_t count { 0 };
        std::uint64_t suppressedSinceLastLine { 0 };
    };
    static constexpr std::size_t maxEvents = 64;

    bool admit(Event, core::TimePoint now);
    void write(Event, core::TimePoint now, nlohmann::json fields);

    std::uint32_t m_linesPerSecond;
    std::array<EventState, maxEvents> m_states {};
    std::uint64_t m_suppressedCount { 0 };
};

} // namespace ibisgw::runtime
