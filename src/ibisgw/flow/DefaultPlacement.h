#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <unordered_map>
#include <vector>

namespace ibisgw::flow {

// Upstreams of one service in one zone.
struct ZoneUpstreams {
    core::ZoneName zone;
    // Sum of the slots of the upstreams; the weight of the zone relative to the other zones.
    std::uint32_t slots { 0 };
    std::vector<core::UpstreamId> upstreams;

    bool operator==(const ZoneUpstreams&) const = default;
};

// Default placement of the flows of one service. The default upstream of a flow is chosen by rendezvous hashing over
// the upstream set, so each balancer can derive it from the flow key. New streams are placed with bounded loads
// (Mirrokni, Thorup, Zadimoghaddam, 2018); a stream that isn't placed on its default upstream is an exception and needs
// a flow record. Earlier versions of the upstream set are retained for a while after a change. Draining upstreams stay
// in the set, so that a drain changes no default.
class DefaultPlacement {
public:
    // Time for which a superseded version of the upstream set is retained. Long enough to publish records of all
    // exceptions that the change creates.
    static constexpr core::Duration versionRetention = std::chrono::seconds(60);
    // Bound of the bounded-load rule: an upstream above this multiple of the mean of the home's flows gets no new
    // stream from this home.
    static constexpr double loadBound = 1.03;
    // Bound for an upstream whose reported number of open flows is near the mean. The number of flows of one home at an
    // upstream varies by 1/sqrt(220) = 7 %, and balance within each home would make 3 % of the flows exceptions.
    static constexpr double reportedLoadBound = 1.25;
    // Fraction of its normal share of new flows that an upstream may get; 0 when it is not eligible.
    using ShareOf = std::function<double(core::UpstreamId)>;

    void setUpstreams(std::vector<ZoneUpstreams>, core::TimePoint now);
    // Drops versions that were superseded more than versionRetention ago.
    void dropOldVersions(core::TimePoint now);

    // Zone whose balancers are the homes of the flow; null when there are no upstreams.
    const core::ZoneName* zoneOf(std::uint64_t flowHash) const;
    // Invalid when there are no upstreams.
    core::UpstreamId defaultOf(std::uint64_t flowHash) const;
    // Default upstream if it is the same in all retained versions of the upstream set; otherwise invalid.
    core::UpstreamId derivedUpstream(std::uint64_t flowHash) const;
    // Like derivedUpstream(), for a packet that is forwarded to the result. Marks the present version, so that it is
    // retained when it is superseded.
    core::UpstreamId useDerivedUpstream(std::uint64_t flowHash);
    // True for an upstream whose reported number of open flows is not far above the mean of all upstreams.
    using IsNearMean = std::function<bool(core::UpstreamId)>;

    // Upstream for a new stream; invalid when none is eligible. When `hasRoom` is false, the group has no room for more
    // flow records: load bounds are ignored and the stream gets the eligible upstream that ranks highest, which is its
    // default upstream if that is eligible.
    core::UpstreamId place(std::uint64_t flowHash, const ShareOf&, const IsNearMean&, bool hasRoom);
    // Eligible upstreams of the zone that ranks highest for the flow among the zones with any.
    std::vector<core::UpstreamId> candidatesFor(std::uint64_t flowHash, const ShareOf&) const;

    // Counts of the streams whose home is this balancer.
    void addFlow(core::UpstreamId);
    void removeFlow(core::UpstreamId);
    std::size_t flowCount() const { return m_flowCount; }
    std::size_t versionCount() const { return m_versions.size(); }

private:
    struct Version {
        std::vector<ZoneUpstreams> zones;
        core::TimePoint supersededAt;
        // A flow was placed or derived with this version.
        bool isUsed { false };
    };

    static core::UpstreamId defaultOfVersion(const Version&, std::uint64_t flowHash);
    std::size_t flowCountOf(core::UpstreamId) const;

    // Newest last.
    std::deque<Version> m_versions;
    std::unordered_map<core::UpstreamId, std::size_t> m_flows;
    std::size_t m_flowCount { 0 };
};

} // namespace ibisgw::flow
