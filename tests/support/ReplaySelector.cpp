#include "support/ReplaySelector.h"
#include "ibisgw/core/FlowKey.h"

namespace support {

using namespace ibisgw;
using namespace ibisgw::direct;

namespace {

// Sets the time of the last work, by which LeastWorkSelector ranks upstreams with equal work.
void setLastWork(InstanceLoad& load, core::TimePoint at)
{
    load.noteWorkStarted(at);
    load.noteWorkEnded();
}

} // namespace

ReplaySelector::ReplaySelector(const PlacementPattern& pattern, std::uint64_t name, core::RandomSource& random)
    : m_pattern(pattern)
    , m_name(name)
    , m_random(random)
    , m_selector(name)
{
}

const Candidate* ReplaySelector::select(std::span<const Candidate> candidates, core::TimePoint now) const
{
    if (candidates.empty() || m_pattern.rule == PlacementRule::Product)
        return m_selector.select(candidates, now);
    const bool isRandom
        = m_pattern.rule == PlacementRule::TwoRandom || m_pattern.rule == PlacementRule::TwoRandomSharedFlows;
    return isRandom ? selectOfTwo(candidates, now) : selectAdjusted(candidates, now);
}

void ReplaySelector::receive(LoadFigures others, core::TimePoint sentAt)
{
    m_others = std::move(others);
    m_sentAt = sentAt;
}

const Candidate* ReplaySelector::selectOfTwo(std::span<const Candidate> candidates, core::TimePoint now) const
{
    const auto first = m_random.below(candidates.size());
    const auto second = (first + 1 + m_random.below(candidates.size() - 1)) % candidates.size();
    const std::vector<Candidate> pair { candidates[first], candidates[second] };
    return selectAdjusted(pair, now) == pair.data() ? &candidates[first] : &candidates[second];
}

const Candidate* ReplaySelector::selectAdjusted(std::span<const Candidate> candidates, core::TimePoint now) const
{
    std::vector<InstanceLoad> loads;
    loads.reserve(candidates.size());
    std::vector<Candidate> changed(candidates.begin(), candidates.end());
    for (auto& it : changed) {
        loads.push_back(adjusted(it, now));
        it.load = &loads.back();
    }
    return &candidates[m_selector.select(changed, now) - changed.data()];
}

InstanceLoad ReplaySelector::adjusted(const Candidate& candidate, core::TimePoint now) const
{
    auto load = *candidate.load;
    const auto id = candidate.record->report.id.value;
    // Times before the start of any replay.
    if (m_pattern.rule == PlacementRule::OwnOrder)
        setLastWork(load, core::TimePoint(core::Duration(core::rendezvousWeight(m_name, id) >> 32)));
    if (m_pattern.rule == PlacementRule::CommonOrder && load.lastWorkAt() == core::TimePoint {})
        setLastWork(load, core::TimePoint(core::Duration(id)));
    if (id > m_others.size() || now - m_sentAt > PlacementPattern::maxFigureAge * m_pattern.interval)
        return load;
    const auto& others = m_others[id - 1];
    const bool withWork = m_pattern.rule == PlacementRule::SharedWork;
    for (std::uint32_t n = 0; n < others.openFlows; ++n)
        load.noteFlowOpened();
    for (std::uint32_t n = 0; withWork && n < others.inProgress; ++n)
        load.noteWorkStarted(load.lastWorkAt());
    return load;
}

} // namespace support
