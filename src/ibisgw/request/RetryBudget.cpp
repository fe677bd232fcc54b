#include "ibisgw/request/RetryBudget.h"

#include <algorithm>

namespace ibisgw::request {

RetryBudget::Second& RetryBudget::currentSecond(core::TimePoint now)
{
    const auto number = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    auto& second = m_seconds[static_cast<std::size_t>(number) % windowSeconds];
    if (second.number != number)
        second = { number, 0, 0 };
    return second;
}

void RetryBudget::recordOpen(core::TimePoint now)
{
    ++currentSecond(now).opens;
}

bool RetryBudget::takeRetry(core::TimePoint now)
{
    auto& current = currentSecond(now);
    std::uint32_t opens = 0;
    std::uint32_t retries = 0;
    for (const auto& it : m_seconds) {
        if (current.number - it.number >= static_cast<std::int64_t>(windowSeconds))
            continue;
        opens += it.opens;
        retries += it.retries;
    }
    // The floor counts within one second: a quiet service may not save up a burst.
    const bool withinShare = retries + 1 <= share * opens;
    const bool withinFloor = current.retries + 1 <= floorPerSecond;
    if (!withinShare && !withinFloor)
        return false;
    ++current.retries;
    return true;
}

} // namespace ibisgw::request
