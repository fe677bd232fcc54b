#include "ibisgw/request/RetryBudget.h"

#include <algorithm>

namespace ibisgw::request {

RetryBudget::SecondCounts& RetryBudget::currentCounts(core::TimePoint now)
{
    const auto number = std::chrono::duration_cast<std::chrono::seconds>(now.time_since_epoch()).count();
    auto& second = m_seconds[static_cast<std::size_t>(number) % windowSeconds];
    if (second.number != number)
        second = { number, 0, 0 };
    return second;
}

void RetryBudget::recordOpen(core::TimePoint now)
{
    ++currentCounts(now).opens;
}

bool RetryBudget::takeRetry(core::TimePoint now)
{
    auto& current = currentCounts(now);
    std::uint32_t opens = 0;
    std::uint32_t retries = 0;
    for (const auto& it : m_seconds) {
        if (current.number - it.number >= static_cast<std::int64_t>(windowSeconds))
            continue;
        opens += it.opens;
        retries += it.retries;
    }
    // The guaranteed retries are counted within one second, so that they don't accumulate to a burst while a service is
    // idle.
    const bool isWithinShare = retries + 1 <= maxRetryShare * opens;
    const bool isWithinGuarantee = current.retries + 1 <= guaranteedRetriesPerSecond;
    if (!isWithinShare && !isWithinGuarantee)
        return false;
    ++current.retries;
    return true;
}

} // namespace ibisgw::request
