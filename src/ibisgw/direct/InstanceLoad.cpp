#include "ibisgw/direct/InstanceLoad.h"

#include <algorithm>
#include <cmath>

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

// Weight of a new response time in the mean. Single response times vary several-fold.
constexpr double responseWeight = 0.3;
// Limits what a single very late response can do.
constexpr double maxResponseRatio = 8;
// Response times vary with the requests, so that only a multiple of the usual time counts.
constexpr double slowThreshold = 2;
// Time after which half of a deviation from the normal response time is forgotten.
constexpr core::Duration slowdownHalfLife = std::chrono::seconds(3);

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

bool InstanceLoad::isUnconfirmed(core::TimePoint now, core::TimePoint countedFrom) const
{
    return m_unconfirmedSince && now - std::max(*m_unconfirmedSince, countedFrom) > confirmationTimeout
        && now - *m_unconfirmedSince <= maxUnconfirmedTime;
}

void InstanceLoad::noteProgress(core::TimePoint now)
{
    m_unconfirmedSince.reset();
    m_lastProgressAt = now;
}

void InstanceLoad::noteOpenAnswered(core::TimePoint now)
{
    noteProgress(now);
    m_consecutiveUnanswered = 0;
    m_avoidancePeriod = {};
    m_avoidedUntil = {};
}

void InstanceLoad::noteResponse(double ratio, core::TimePoint now)
{
    const double previous = slowdown(now);
    m_responseRatio = previous + responseWeight * (std::min(ratio, maxResponseRatio) - previous);
    m_lastResponseAt = now;
}

double InstanceLoad::slowdown(core::TimePoint now) const
{
    const double halfLives = core::toSeconds(now - m_lastResponseAt) / core::toSeconds(slowdownHalfLife);
    return 1 + (m_responseRatio - 1) * std::exp2(-halfLives);
}

double InstanceLoad::relativeSpeed(core::TimePoint now) const
{
    const double factor = slowdown(now);
    return factor < slowThreshold ? 1 : 1 / factor;
}

void InstanceLoad::noteOpenUnanswered(core::TimePoint now)
{
    if (++m_consecutiveUnanswered < unansweredThreshold || isAvoided(now))
        return;
    m_avoidancePeriod = std::clamp(2 * m_avoidancePeriod, minAvoidancePeriod, maxAvoidancePeriod);
    m_avoidedUntil = now + m_avoidancePeriod;
}

} // namespace ibisgw::direct
