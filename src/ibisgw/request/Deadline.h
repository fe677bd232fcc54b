#pragma once

#include "ibisgw/core/Time.h"

#include <cstdint>
#include <optional>

namespace ibisgw::request {

// Point in time until which an answer is of use. It travels as remaining milliseconds, because the clocks
// of two machines are not compared; time in the network is therefore not counted, time in a queue is.
class Deadline {
public:
    // 0 ms means no deadline.
    Deadline(std::uint32_t remainingMs, core::TimePoint receivedAt);

    bool isExpired(core::TimePoint now) const;
    // Value for a packet that is sent now: 0 without a deadline, otherwise at least 1.
    std::uint32_t remainingMs(core::TimePoint now) const;
    // Empty without a deadline; not negative.
    std::optional<core::Duration> remaining(core::TimePoint now) const;
    core::TimePoint expiresAt(core::TimePoint whenThereIsNone) const { return m_expiresAt.value_or(whenThereIsNone); }

private:
    std::optional<core::TimePoint> m_expiresAt;
};

} // namespace ibisgw::request
