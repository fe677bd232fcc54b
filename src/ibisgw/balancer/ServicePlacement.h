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

// Selects the upstreams of the new flows of one service: streams by default placement with bounded loads, requests by a
// load-based selector. Upstreams that are ejected, or in a zone that is evacuated or cut off, get no new flows. Those
// of an evacuated zone stay in the default set, so that an evacuation changes neither the defaults nor the homes of
// flows.
class ServicePlacement {
public:
    ServicePlacement(core::ServiceName, const upstream::UpstreamRegistry&, const SelectorFactory&, core::RandomSource&);

    // Applies changes of the upstream registry and updates outlier detection.
    void update(core::TimePoint now);

    // Upstream for a new stream or a new flow of requests, none of the excluded ones; invalid when there is no other.
    // When `hasRoom` is false, the group has no room for more flow records: a stream then gets its default upstream
    // even above the load bound.
    core::UpstreamId placeStream(
        std::uint64_t flowHash, const std::vector<core::UpstreamId>& excluded, bool hasRoom, core::TimePoint now);
    core::UpstreamId placeRequest(
        std::uint64_t flowHash, const std::vector<core::UpstreamId>& excluded, core::TimePoint now);
    // Fraction of its normal share of new flows that the upstream gets, for example less than 1 while it warms up; 0
    // when it gets none.
    double newWorkShare(core::UpstreamId, core::TimePoint now) const;

    // True when an evacuation leaves the service without an upstream for new flows.
    bool isEvacuated() const { return m_isEvacuated; }

    flow::DefaultPlacement& defaults() { return m_defaults; }
    upstream::LoadEstimate& load() { return m_load; }
    upstream::OutlierDetector& outliers() { return m_outliers; }
    upstream::UpstreamSelector& selector() { return *m_selector; }

private:
    void rebuildDefaults(core::TimePoint now);
    flow::DefaultPlacement::ShareOf shareOutside(
        const std::vector<core::UpstreamId>& excluded, core::TimePoint now) const;
    void removeGoneUpstreams(const std::vector<flow::ZoneUpstreams>&);

    core::ServiceName m_service;
    const upstream::UpstreamRegistry& m_upstreams;
    flow::DefaultPlacement m_defaults;
    upstream::LoadEstimate m_load;
    upstream::OutlierDetector m_outliers;
    std::unique_ptr<upstream::UpstreamSelector> m_selector;
    std::vector<core::UpstreamId> m_eligible;
    std::set<core::UpstreamId> m_presentUpstreams;
    bool m_isEvacuated { false };
    std::uint64_t m_appliedChangeCount { 0 };
};

} // namespace ibisgw::balancer
