#pragma once

#include "ibisgw/core/Time.h"

#include <optional>

namespace ibisgw::runtime {

struct ShutdownLimits {
    // Others go on sending until they have noticed.
    core::Duration minimum { 0 };
    // Without work for this long nothing more is expected.
    core::Duration quiet { 0 };
    // The process is killed soon after.
    core::Duration maximum { 0 };
};

// Decides when a process that was asked to stop may end: work that it has taken on is finished first.
class ShutdownTimer {
public:
    explicit ShutdownTimer(ShutdownLimits limits)
        : m_limits(limits)
    {
    }

    void begin(core::TimePoint now) { m_startedAt = now; }
    bool hasBegun() const { return m_startedAt.has_value(); }
    // There is work now.
    void noteWork(core::TimePoint now) { m_lastWorkAt = now; }
    bool isOver(core::TimePoint now) const;

private:
    ShutdownLimits m_limits;
    std::optional<core::TimePoint> m_startedAt;
    core::TimePoint m_lastWorkAt {};
};

} // namespace ibisgw::runtime
