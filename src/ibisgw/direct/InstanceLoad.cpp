#include "ibisgw/direct/InstanceLoad.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

// One unanswered packet may be lost on the network.
constexpr std::uint32_t unansweredLimit = 2;

// Callers answer an open within a few round trips; they repeat it after 200 ms.
constexpr core::Duration confirmationTime = std::chrono::milliseconds(100);
// Afterwards the upstream is tried again.
constexpr core::Duration unconfirmedLimit = std::chrono::seconds(1);

constexpr core::Duration firstAvoidance = std::chrono::seconds(1);
constexpr core::Duration longestAvoidance = std::chrono::seconds(4);

} // namespace

void InstanceLoad::workStarted(core::TimePoint now)
{
    ++m_inProgress;
    m_lastWorkAt = now;
}

void InstanceLoad::openSent(core::TimePoint now)
{
    if (!m_unconfirmedSince || now - *m_unconfirmedSince > unconfirmedLimit)
        m_unconfirmedSince = now;
}

bool InstanceLoad::isUnconfirmed(core::TimePoint now) const
{
    return m_unconfirmedSince && now - *m_unconfirmedSince > confirmationTime
        && now - *m_unconfirmedSince <= unconfirmedLimit;
}

void InstanceLoad::answered()
{
    progressed();
    m_unansweredInRow = 0;
    m_avoidance = {};
    m_avoidUntil = {};
}

void InstanceLoad::unanswered(core::TimePoint now)
{
    if (++m_unansweredInRow < unansweredLimit || isAvoided(now))
        return;
    m_avoidance = std::clamp(2 * m_avoidance, firstAvoidance, longestAvoidance);
    m_avoidUntil = now + m_avoidance;
}

} // namespace ibisgw::direct
