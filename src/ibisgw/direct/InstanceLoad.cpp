#include "ibisgw/direct/InstanceLoad.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

// A single unanswered packet may have been lost on the network.
constexpr std::uint32_t unansweredThreshold = 2;

// After an accepted open the caller's next packet arrives within a few round trips; callers retransmit an opening
// packet after 200 ms.
constexpr core::Duration confirmationTimeout = std::chrono::milliseconds(100);
// After this time without a response the upstream gets new flows again, as a trial.
constexpr core::Duration maxUnconfirmedTime = std::chrono::seconds(1);

// The time for which an upstream is avoided doubles with each period in which it leaves opening packets unanswered.
constexpr core::Duration minAvoidancePeriod = std::chrono::seconds(1);
constexpr core::Duration maxAvoidancePeriod = std::chrono::seconds(4);

} // namespace

void InstanceLoad::noteWorkStarted(core::TimePoint now)
{
    ++m_inProgress;
    m_lastWorkAt = now;
}

void InstanceLoad::noteOpenSent(core::TimePoint now)
{
    if (!m_unconfirmedSince || now - *m_unconfirmedSince > maxUnconfirmedTime)
        m_unconfirmedSince = now;
}

bool InstanceLoad::isUnconfirmed(core::TimePoint now) const
{
    return m_unconfirmedSince && now - *m_unconfirmedSince > confirmationTimeout
        && now - *m_unconfirmedSince <= maxUnconfirmedTime;
}

void InstanceLoad::noteOpenAnswered()
{
    noteProgress();
    m_consecutiveUnanswered = 0;
    m_avoidancePeriod = {};
    m_avoidedUntil = {};
}

void InstanceLoad::noteOpenUnanswered(core::TimePoint now)
{
    if (++m_consecutiveUnanswered < unansweredThreshold || isAvoided(now))
        return;
    m_avoidancePeriod = std::clamp(2 * m_avoidancePeriod, minAvoidancePeriod, maxAvoidancePeriod);
    m_avoidedUntil = now + m_avoidancePeriod;
}

} // namespace ibisgw::direct
