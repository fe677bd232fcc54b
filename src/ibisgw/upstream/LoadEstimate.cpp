#include "ibisgw/upstream/LoadEstimate.h"

#include <algorithm>
#include <cmath>

namespace ibisgw::upstream {

void LoadEstimate::noteStarted(core::UpstreamId upstream)
{
    ++m_states[upstream].inFlight;
}

void LoadEstimate::noteFinished(core::UpstreamId upstream)
{
    const auto it = m_states.find(upstream);
    if (it != m_states.end() && it->second.inFlight > 0)
        --it->second.inFlight;
}

void LoadEstimate::noteReport(const Announcement& announcement, core::TimePoint now)
{
    auto& state = m_states[announcement.upstream];
    state.slots = std::max<unsigned>(announcement.slots, 1);
    // No more requests than slots can run; a report of more is wrong.
    state.reportedBusy = std::min<unsigned>(announcement.busySlots, state.slots);
    state.reportedAt = now;
}

void LoadEstimate::forget(core::UpstreamId upstream)
{
    m_states.erase(upstream);
}

unsigned LoadEstimate::inFlight(core::UpstreamId upstream) const
{
    const auto it = m_states.find(upstream);
    return it == m_states.end() ? 0 : it->second.inFlight;
}

double LoadEstimate::loadOf(core::UpstreamId upstream, core::TimePoint now) const
{
    const auto it = m_states.find(upstream);
    if (it == m_states.end())
        return 0;
    const auto& state = it->second;
    const auto age = core::toSeconds(now - state.reportedAt) / core::toSeconds(reportHalfLife);
    const auto others = static_cast<double>(state.reportedBusy) - static_cast<double>(state.inFlight);
    return (static_cast<double>(state.inFlight) + std::max(others, 0.0) * std::exp2(-age))
        / static_cast<double>(state.slots);
}

} // namespace ibisgw::upstream
