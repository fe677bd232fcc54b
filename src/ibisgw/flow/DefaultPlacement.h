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
    // Slots of the zone: its weight against the other zones.
    std::uint32_t slots { 0 };
    std::vector<core::UpstreamId> upstreams;

    bool operator==(const ZoneUpstreams&) const = default;
};

// Default upstream of each flow of one service, by rendezvous hashing over the present and the
// retained versions of the upstream set, and placement of new streams with bounded loads (Mirrokni,
// Thorup, Zadimoghaddam, 2018). Upstreams stay in the set while they drain, so that a drain changes
// no default.
class DefaultPlacement {
public:
    // Long enough that all exceptions which a change creates have been recorded and told.
    static constexpr core::Duration versionRetention = std::chrono::seconds(60);
    // An upstream above this multiple of the mean gets no new flow of the home.
    static constexpr double loadBound = 1.03;
    // Bound for an upstream whose report says that it is not above the mean of the whole group: the flows of
    // one home vary by 1/sqrt(220) = 7 %, and balance within each home would cost 3 % of exceptions.
    static constexpr double reportedLoadBound = 1.25;
    // Share of a full share of new flows that an upstream may get: 0 when it is not eligible.
    using ShareOf = std::function<double(core::UpstreamId)>;

    void setUpstreams(std::vector<ZoneUpstreams>, core::TimePoint now);
    void dropOldVersions(core::TimePoint now);

    // Zone whose balancers are the homes of the flow; null when there are no upstreams.
    const core::ZoneName* zoneOf(std::uint64_t flowHash) const;
    // Invalid when there are no upstreams.
    core::UpstreamId defaultOf(std::uint64_t flowHash) const;
    // The default, if it is the same in all retained versions; else invalid.
    core::UpstreamId derivedUpstream(std::uint64_t flowHash) const;
    // As above for a decision on a packet: from then on the present version is retained.
    core::UpstreamId useDerivedUpstream(std::uint64_t flowHash);
    // True for an upstream whose report of open flows is not far above the mean of all.
    using IsNearMean = std::function<bool(core::UpstreamId)>;

    // Upstream for a new stream; invalid when none is eligible.
    // Without room for exceptions, balance yields and the default is taken if it is eligible.
    core::UpstreamId place(std::uint64_t flowHash, const ShareOf&, const IsNearMean&, bool hasRoom);
    // Eligible upstreams of the first zone, in the order of the flow, that has any.
    std::vector<core::UpstreamId> candidatesFor(std::uint64_t flowHash, const ShareOf&) const;

    // Flows of which this balancer is the home.
    void addFlow(core::UpstreamId);
    void removeFlow(core::UpstreamId);
    std::size_t flowCount() const { return m_flowCount; }
    std::size_t versionCount() const { return m_versions.size(); }

private:
    struct Version {
        std::vector<ZoneUpstreams> zones;
        core::TimePoint supersededAt;
        bool isUsed { false };
    };

    static core::UpstreamId defaultIn(const Version&, std::uint64_t flowHash);
    std::size_t flowsOf(core::UpstreamId) const;

    // Newest last.
    std::deque<Version> m_versions;
    std::unordered_map<core::UpstreamId, std::size_t> m_flows;
    std::size_t m_flowCount { 0 };
};

} // namespace ibisgw::flow
