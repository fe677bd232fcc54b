#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/flow/DefaultPlacement.h"
#include "ibisgw/upstream/LoadEstimate.h"
#include "ibisgw/upstream/OutlierDetector.h"
#include "ibisgw/upstream/UpstreamRegistry.h"
#include "ibisgw/upstream/UpstreamSelector.h"

#include <functional>
#include <memory>
#include <set>

namespace ibisgw::balancer {

using SelectorFactory
    = std::function<std::unique_ptr<upstream::UpstreamSelector>(const upstream::LoadEstimate&, core::RandomSource&)>;

// Placement of the new flows of one service.
class ServicePlacement {
public:
    ServicePlacement(core::ServiceName, const upstream::UpstreamRegistry&, const SelectorFactory&, core::RandomSource&);

    // Takes over changes of the upstreams and ejects those that do not answer.
    void update(core::TimePoint now);

    // None of the excluded upstreams; invalid when there is no other. Without room for more flow records the default is
    // taken although it is above the load bound.
    core::UpstreamId placeStream(
        std::uint64_t flowHash, const std::vector<core::UpstreamId>& excluded, bool hasRoom, core::TimePoint now);
    core::UpstreamId placeRequest(
        std::uint64_t flowHash, const std::vector<core::UpstreamId>& excluded, core::TimePoint now);
    // 0 when the upstream gets no new work.
    double newWorkShare(core::UpstreamId, core::TimePoint now) const;

    flow::DefaultPlacement& defaults() { return m_defaults; }
    upstream::LoadEstimate& load() { return m_load; }
    upstream::OutlierDetector& outliers() { return m_outliers; }
    upstream::UpstreamSelector& selector() { return *m_selector; }

private:
    void rebuildDefaults(core::TimePoint now);
    flow::DefaultPlacement::ShareOf shareOutside(
        const std::vector<core::UpstreamId>& excluded, core::TimePoint now) const;
    void forgetGoneUpstreams(const std::vector<flow::ZoneUpstreams>&);

    core::ServiceName m_service;
    const upstream::UpstreamRegistry& m_upstreams;
    flow::DefaultPlacement m_defaults;
    upstream::LoadEstimate m_load;
    upstream::OutlierDetector m_outliers;
    std::unique_ptr<upstream::UpstreamSelector> m_selector;
    std::vector<core::UpstreamId> m_eligible;
    std::set<core::UpstreamId> m_known;
    std::uint64_t m_appliedChange { 0 };
};

} // namespace ibisgw::balancer
