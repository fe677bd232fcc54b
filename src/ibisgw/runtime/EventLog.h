#pragma once

#include "ibisgw/adapters/Log.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/runtime/Event.h"

#include <nlohmann/json.hpp>

#include <array>

namespace ibisgw::runtime {

// Writes events as JSON lines with a bound for each kind of event, so that a storm of one kind neither fills the log
// nor hides the others. A line tells how many of its kind were left out before it.
class EventLog {
public:
    explicit EventLog(std::uint32_t linesPerSecond);

    // The fields are only made when the line is written. False when it is left out.
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
    std::uint64_t count(Event event) const { return m_kinds[static_cast<std::size_t>(event)].count; }
    std::uint64_t leftOut() const { return m_leftOut; }

private:
    struct Kind {
        double credit { 0 };
        core::TimePoint refilledAt {};
        bool isUsed { false };
        std::uint64_t count { 0 };
        std::uint64_t leftOutBefore { 0 };
    };
    static constexpr std::size_t maxKinds = 64;

    bool admit(Event, core::TimePoint now);
    void write(Event, core::TimePoint now, nlohmann::json fields);

    std::uint32_t m_linesPerSecond;
    std::array<Kind, maxKinds> m_kinds {};
    std::uint64_t m_leftOut { 0 };
};

} // namespace ibisgw::runtime
