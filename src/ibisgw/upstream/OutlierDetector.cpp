#include "ibisgw/upstream/OutlierDetector.h"

#include <algorithm>

namespace ibisgw::upstream {

namespace {

// A response of any upstream within this time shows that this balancer isn't partitioned from the service.
constexpr core::Duration maxAnswerAge = std::chrono::seconds(3);
constexpr unsigned maxEjectionDoublings = 3;

} // namespace

void OutlierDetector::noteForwarded(core::UpstreamId upstream, core::TimePoint now)
{
    auto& state = m_states[upstream];
    if (state.unanswered++ == 0)
        state.unansweredSince = now;
}

void OutlierDetector::noteAnswer(core::UpstreamId upstream, core::TimePoint now)
{
    auto& state = m_states[upstream];
    state.unanswered = 0;
    state.lastAnswer = now;
    if (state.ejectedUntil > now)
        state.ejectedUntil = now;
}

void OutlierDetector::forget(core::UpstreamId upstream)
{
    m_states.erase(upstream);
}

bool OutlierDetector::isEjected(core::UpstreamId upstream, core::TimePoint now) const
{
    const auto it = m_states.find(upstream);
    return it != m_states.end() && now < it->second.ejectedUntil;
}

bool OutlierDetector::isSuspect(const State& state, core::TimePoint now)
{
    return state.unanswered >= minUnansweredPackets && now - state.unansweredSince >= minUnansweredDuration;
}

void OutlierDetector::update(const std::vector<core::UpstreamId>& upstreams, core::TimePoint now)
{
    const auto stateOf = [this](core::UpstreamId it) -> State& { return m_states[it]; };
    const bool hasRecentAnswers
        = std::ranges::any_of(upstreams, [&](auto it) { return now - stateOf(it).lastAnswer < maxAnswerAge; });
    if (!hasRecentAnswers)
        return;
    auto ejected = std::ranges::count_if(upstreams, [&](auto it) { return isEjected(it, now); });
    for (const auto& it : upstreams) {
        auto& state = stateOf(it);
        if (isEjected(it, now) || !isSuspect(state, now))
            continue;
        if (2 * static_cast<std::size_t>(ejected + 1) > upstreams.size())
            return;
        const auto duration = minEjectionDuration * (1U << std::min(state.ejections, maxEjectionDoublings));
        state.ejectedUntil = now + std::min(duration, maxEjectionDuration);
        ++state.ejections;
        // After the ejection the upstream gets minUnansweredPackets packets as a trial before it can be ejected again.
        state.unanswered = 0;
        ++ejected;
    }
}

} // namespace ibisgw::upstream
