#include "ibisgw/request/Deadline.h"

#include <algorithm>

namespace ibisgw::request {

Deadline::Deadline(std::uint32_t remainingMs, core::TimePoint receivedAt)
{
    if (remainingMs > 0)
        m_expiresAt = receivedAt + std::chrono::milliseconds(remainingMs);
}

bool Deadline::isExpired(core::TimePoint now) const
{
    return m_expiresAt && now >= *m_expiresAt;
}

std::uint32_t Deadline::remainingMs(core::TimePoint now) const
{
    const auto remainingTime = remaining(now);
    if (!remainingTime)
        return 0;
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(*remainingTime).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(ms, 1));
}

std::optional<core::Duration> Deadline::remaining(core::TimePoint now) const
{
    if (!m_expiresAt)
        return std::nullopt;
    return std::max(*m_expiresAt - now, core::Duration::zero());
}

} // namespace ibisgw::request
