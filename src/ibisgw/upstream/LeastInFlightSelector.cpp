#include "ibisgw/upstream/LeastInFlightSelector.h"

#include <algorithm>
#include <utility>

namespace ibisgw::upstream {

LeastInFlightSelector::LeastInFlightSelector(const LoadEstimate& load, core::RandomSource& random)
    : m_load(load)
    , m_random(random)
{
}

core::UpstreamId LeastInFlightSelector::select(const std::vector<SelectionCandidate>& candidates, core::TimePoint)
{
    if (candidates.empty())
        return {};
    // A new upstream starts at the least pass of the others; at 0 it would be preferred until it has caught up.
    double leastPass = -1;
    for (const auto& it : candidates) {
        const auto pass = m_pass.find(it.upstream);
        if (pass != m_pass.end() && (leastPass < 0 || pass->second < leastPass))
            leastPass = pass->second;
    }
    const auto base = std::max(leastPass, 0.0);
    const SelectionCandidate* best = nullptr;
    std::pair<double, double> bestCost;
    for (const auto& it : candidates) {
        const auto [pass, isNew] = m_pass.try_emplace(it.upstream, base + m_random.unit());
        const std::pair cost { static_cast<double>(m_load.inFlight(it.upstream)), pass->second };
        if (!best || cost < bestCost) {
            best = &it;
            bestCost = cost;
        }
    }
    m_pass[best->upstream] = std::max(m_pass[best->upstream], base) + 1 / best->share;
    return best->upstream;
}

void LeastInFlightSelector::noteAnswer(core::UpstreamId, core::TimePoint) { }

void LeastInFlightSelector::forget(core::UpstreamId upstream)
{
    m_pass.erase(upstream);
}

} // namespace ibisgw::upstream
