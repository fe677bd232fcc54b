#include "ibisgw/balancer/RelayBudget.h"

#include <algorithm>

namespace ibisgw::balancer {

RelayBudget::RelayBudget(double packetsPerSecond, double burst)
    : m_packetsPerSecond(packetsPerSecond)
    , m_burst(burst)
    , m_available(burst)
{
}

bool RelayBudget::take(core::TimePoint now)
{
    m_available = std::min(m_burst, m_available + core::toSeconds(now - m_refilledAt) * m_packetsPerSecond);
    m_refilledAt = now;
    if (m_available < 1)
        return false;
    m_available -= 1;
    return true;
}

} // namespace ibisgw::balancer
