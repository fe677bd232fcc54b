#include "ibisgw/direct/LeastWorkSelector.h"
#include "ibisgw/core/FlowKey.h"

#include <algorithm>
#include <tuple>

namespace ibisgw::direct {

namespace {

// Work per slot added to upstreams of another zone. The longer path costs little time, but traffic between zones is
// charged for, and its flows break when the zones are partitioned.
constexpr double crossZonePenalty = 1.4;

// Speed of an upstream during its cold start, relative to its normal speed.
constexpr double coldRelativeSpeed = 0.6;

// Work of an open flow without a request in progress, which may send a request at any time.
constexpr double idleFlowWork = 0.05;

double workPerSlot(const Candidate& candidate, core::TimePoint now)
{
    const auto& load = *candidate.load;
    const auto& record = *candidate.record;
    const auto idleFlows = load.openFlows() - std::min(load.openFlows(), load.inProgress());
    const double work = load.inProgress() + idleFlowWork * idleFlows;
    const double speed = std::min(now < record.warmAt ? coldRelativeSpeed : 1.0, load.relativeSpeed(now));
    // Includes the flow to place, so that a slower upstream ranks lower even when it is idle.
    const double perSlot = (work + 1.0) / (record.report.slots * speed);
    return perSlot + (candidate.isInOwnZone ? 0.0 : crossZonePenalty);
}

} // namespace

LeastWorkSelector::LeastWorkSelector(std::uint64_t orderSeed)
    : m_orderSeed(orderSeed)
{
}

const Candidate* LeastWorkSelector::select(std::span<const Candidate> candidates, core::TimePoint now) const
{
    const auto rankOf = [now](const Candidate& it) {
        return std::tuple { it.isSuspect, workPerSlot(it, now), it.load->lastWorkAt() };
    };
    // Computed for ties only.
    const auto orderOf
        = [this](const Candidate& it) { return core::rendezvousWeight(m_orderSeed, it.record->report.id.value); };
    if (candidates.empty())
        return nullptr;
    const auto* best = &candidates.front();
    auto bestRank = rankOf(*best);
    for (const auto& it : candidates.subspan(1)) {
        const auto rank = rankOf(it);
        if (rank < bestRank || (rank == bestRank && orderOf(it) < orderOf(*best))) {
            best = &it;
            bestRank = rank;
        }
    }
    return best;
}

} // namespace ibisgw::direct
