#pragma once

#include "ibisgw/core/Time.h"

#include <cstdint>
#include <optional>

namespace ibisgw::request {

// Time until which the caller can use an answer. Packets carry the remaining milliseconds, because the clocks of two
// machines may differ. Time in a queue therefore counts against the deadline, time in the network doesn't.
class Deadline {
public:
    // 0 ms means no deadline.
    Deadline(std::uint32_t remainingMs, core::TimePoint receivedAt);

    bool isExpired(core::TimePoint now) const;
    // Value of Packet::deadlineMs for a packet that is sent now: 0 without a deadline, otherwise at least 1.
    std::uint32_t remainingMs(core::TimePoint now) const;
    // Empty without a deadline; zero when it has expired.
    std::optional<core::Duration> remaining(core::TimePoint now) const;
    // The given fallback without a deadline.
    core::TimePoint expiresAt(core::TimePoint fallback) const { return m_expiresAt.value_or(fallback); }

private:
    std::optional<core::TimePoint> m_expiresAt;
};

} // namespace ibisgw::request
