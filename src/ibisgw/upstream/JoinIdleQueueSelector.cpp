#include "ibisgw/upstream/JoinIdleQueueSelector.h"

#include <algorithm>

namespace ibisgw::upstream {

namespace {

// Queue entries expire after this time, as other balancers fill a free slot within about the duration of one request.
constexpr core::Duration maxIdleAge = std::chrono::milliseconds(100);
constexpr std::size_t maxIdleEntries = 256;

} // namespace

JoinIdleQueueSelector::JoinIdleQueueSelector(const LoadEstimate& load, core::RandomSource& random)
    : m_load(load)
    , m_random(random)
{
}

core::UpstreamId JoinIdleQueueSelector::select(const std::vector<SelectionCandidate>& candidates, core::TimePoint now)
{
    if (candidates.empty())
        return {};
    while (!m_idle.empty()) {
        const auto idle = m_idle.front();
        m_idle.pop_front();
        const auto it = std::ranges::find(candidates, idle.upstream, &SelectionCandidate::upstream);
        if (now - idle.since <= maxIdleAge && it != candidates.end() && m_random.chance(it->share))
            return idle.upstream;
    }
    const auto& first = candidates[m_random.below(candidates.size())];
    const auto& second = candidates[m_random.below(candidates.size())];
    const auto cost = [&](const auto& it) { return (m_load.loadOf(it.upstream, now) + 1) / it.share; };
    return (cost(second) < cost(first) ? second : first).upstream;
}

void JoinIdleQueueSelector::noteAnswer(core::UpstreamId upstream, core::TimePoint now)
{
    m_idle.push_back({ upstream, now });
    if (m_idle.size() > maxIdleEntries)
        m_idle.pop_front();
}

void JoinIdleQueueSelector::forget(core::UpstreamId upstream)
{
    std::erase_if(m_idle, [&](const auto& it) { return it.upstream == upstream; });
}

} // namespace ibisgw::upstream
