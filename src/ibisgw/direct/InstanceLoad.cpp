#include "ibisgw/direct/InstanceLoad.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

// One unanswered packet may be lost on the network.
constexpr std::uint32_t unansweredLimit = 2;

constexpr core::Duration firstAvoidance = std::chrono::seconds(1);
constexpr core::Duration longestAvoidance = std::chrono::seconds(4);

} // namespace

void InstanceLoad::workStarted(core::TimePoint now)
{
    ++m_inProgress;
    m_lastWorkAt = now;
}

void InstanceLoad::answered()
{
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
