#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/direct/LeastWorkSelector.h"
#include "support/LoadPattern.h"

#include <vector>

namespace support {

// Load of one upstream.
struct LoadFigure {
    std::uint32_t inProgress { 0 };
    std::uint32_t openFlows { 0 };

    LoadFigure operator+(const LoadFigure& it) const
    {
        return { inProgress + it.inProgress, openFlows + it.openFlows };
    }
    LoadFigure operator-(const LoadFigure& it) const
    {
        return { inProgress - it.inProgress, openFlows - it.openFlows };
    }
};
// By identifier of the upstream, from 1.
using LoadFigures = std::vector<LoadFigure>;

// Rules for the placement of flows that are compared in a load replay: each changes what LeastWorkSelector sees.
class ReplaySelector final : public ibisgw::direct::InstanceSelector {
public:
    // `name` stays the same when the balancer restarts.
    ReplaySelector(const PlacementPattern&, std::uint64_t name, ibisgw::core::RandomSource&);

    const ibisgw::direct::Candidate* select(
        std::span<const ibisgw::direct::Candidate>, ibisgw::core::TimePoint now) const override;
    // Sums of the other balancers as of `sentAt`. They are used until they are four intervals old.
    void receive(LoadFigures, ibisgw::core::TimePoint sentAt);

private:
    ibisgw::direct::InstanceLoad adjusted(const ibisgw::direct::Candidate&, ibisgw::core::TimePoint now) const;
    const ibisgw::direct::Candidate* selectAdjusted(
        std::span<const ibisgw::direct::Candidate>, ibisgw::core::TimePoint now) const;
    const ibisgw::direct::Candidate* selectOfTwo(
        std::span<const ibisgw::direct::Candidate>, ibisgw::core::TimePoint now) const;

    PlacementPattern m_pattern;
    std::uint64_t m_name;
    ibisgw::core::RandomSource& m_random;
    ibisgw::direct::LeastWorkSelector m_selector;
    LoadFigures m_others;
    ibisgw::core::TimePoint m_sentAt {};
};

} // namespace support
