#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <vector>

namespace ibisgw::flow {

struct RingMember {
    core::NodeId node;
    core::ZoneName zone;
    // The balancer is leaving: it still forwards the packets of its flows but is no longer the home of any flow.
    bool isLeaving { false };

    auto operator<=>(const RingMember&) const = default;
};

struct PreviousHome {
    core::NodeId node;
    // Time at which the ring in which it was the home was replaced.
    core::TimePoint until;
};

// Selects the home balancer of a flow by rendezvous hashing over the synchronized balancers of the flow's zone, so that
// adding or removing a balancer moves only the flows of that balancer. Earlier rings are retained for a while, so that
// a new home can query the previous homes of a flow.
class HomeRing {
public:
    // Time for which an earlier ring is retained. During it, a new home queries the previous homes about unknown flows.
    static constexpr core::Duration changeRetention = std::chrono::seconds(60);

    void setMembers(std::vector<RingMember>, core::TimePoint now);
    // Like setMembers(), for the change with which this balancer itself joins. The rings before it are unknown, so the
    // one without this balancer is retained as the previous ring.
    void join(std::vector<RingMember>, core::NodeId self, core::TimePoint now);

    // Invalid when the ring has no member that isn't leaving. When the zone is null or has no such member, the home is
    // selected among all members.
    core::NodeId homeOf(std::uint64_t flowHash, const core::ZoneName* zone) const;
    // Distinct homes of the flow in the retained rings, newest first, up to maxPreviousHomes. Also includes the
    // balancer that was its home on the other side of a partition that has ended.
    std::vector<PreviousHome> previousHomesOf(
        std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const;
    // True when a home of the flow in a retained ring is no longer running.
    bool hasStoppedPreviousHome(std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const;
    const std::vector<RingMember>& members() const { return m_members; }
    // Number of members that aren't leaving.
    std::size_t homeCount() const;
    // True for members of the ring, including leaving ones.
    bool isRunning(core::NodeId) const;
    // True for members of a retained ring.
    bool wasRunning(core::NodeId) const;

private:
    // Limits the queries about one packet.
    static constexpr std::size_t maxPreviousHomes = 4;

    struct RetainedRing {
        std::vector<RingMember> members;
        core::TimePoint until;
        // The ring was replaced when this balancer itself joined.
        bool isOwnJoin { false };
    };

    void retain(std::vector<RingMember>, core::TimePoint now, bool isOwnJoin);

    std::vector<RingMember> m_members;
    // Newest last.
    std::vector<RetainedRing> m_retainedRings;
};

} // namespace ibisgw::flow
