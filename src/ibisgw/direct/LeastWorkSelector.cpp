#include "ibisgw/direct/LeastWorkSelector.h"

#include <algorithm>
#include <tuple>

namespace ibisgw::direct {

namespace {

// Work that an upstream of another zone must have less, per slot: the longer way costs little time, but its bytes
// between zones are paid for and its flows suffer when the zones are cut off from each other.
constexpr double otherZonePenalty = 1.0;

// Share of its speed that an upstream has while it is cold.
constexpr double coldSpeed = 0.6;

// An open flow without a request in progress will send one at some time.
constexpr double idleFlowWork = 0.05;

double workPerSlot(const Candidate& candidate, core::TimePoint now)
{
    const auto& load = *candidate.load;
    const auto& record = *candidate.record;
    const auto idleFlows = load.openFlows() - std::min(load.openFlows(), load.inProgress());
    const double work = load.inProgress() + idleFlowWork * idleFlows;
    const double speed = now < record.warmAt ? coldSpeed : 1.0;
    // The flow to place counts too, so that a slower upstream is worse even when it is idle.
    const double perSlot = (work + 1.0) / (record.report.slots * speed);
    return perSlot + (candidate.isInOwnZone ? 0.0 : otherZonePenalty);
}

} // namespace

const Candidate* LeastWorkSelector::select(std::span<const Candidate> candidates, core::TimePoint now) const
{
    const auto rank = [now](const Candidate& it) {
        return std::tuple { it.isDoubtful, workPerSlot(it, now), it.load->lastWorkAt(), it.record->report.id };
    };
    const auto best = std::ranges::min_element(candidates, {}, rank);
    return best == candidates.end() ? nullptr : &*best;
}

} // namespace ibisgw::direct
