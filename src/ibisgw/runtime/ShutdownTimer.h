#pragma once

#include "ibisgw/core/Time.h"

#include <optional>

namespace ibisgw::runtime {

// Durations that bound the shutdown of a process, counted from the termination signal.
struct ShutdownLimits {
    // The process runs at least this long, as senders need time to detect its withdrawal.
    core::Duration minDuration { 0 };
    // After this time without work no further work is expected.
    core::Duration quietPeriod { 0 };
    // The process exits after this time at the latest, as it is killed soon after.
    core::Duration maxDuration { 0 };
};

// Decides when a process may exit after a termination signal: accepted work is finished first.
class ShutdownTimer {
public:
    explicit ShutdownTimer(ShutdownLimits limits)
        : m_limits(limits)
    {
    }

    void begin(core::TimePoint now) { m_startedAt = now; }
    bool hasBegun() const { return m_startedAt.has_value(); }
    // Must be called whenever the process receives work or has unfinished work.
    void recordWork(core::TimePoint now) { m_lastWorkAt = now; }
    // True if the process may exit.
    bool isOver(core::TimePoint now) const;

private:
    ShutdownLimits m_limits;
    std::optional<core::TimePoint> m_startedAt;
    core::TimePoint m_lastWorkAt {};
};

} // namespace ibisgw::runtime
