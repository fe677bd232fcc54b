#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <vector>

namespace ibisgw::flow {

struct RingMember {
    core::NodeId node;
    core::ZoneName zone;
    // Still forwards packets of its flows, but is no home any more.
    bool isLeaving { false };

    auto operator<=>(const RingMember&) const = default;
};

// Chooses the home balancer of a flow by rendezvous hashing over the synchronized balancers of the
// flow's zone, so that a change of one balancer moves only the flows of that balancer.
class HomeRing {
public:
    // For this long a home asks the flow's earlier home about a flow that it does not know.
    static constexpr core::Duration changeRetention = std::chrono::seconds(60);

    void setMembers(std::vector<RingMember>, core::TimePoint now);

    // Invalid when the ring is empty. Without members in the zone, or without a zone, all members count.
    core::NodeId homeOf(std::uint64_t flowHash, const core::ZoneName* zone) const;
    // Home of the flow before the last changes, on this balancer's side of a partition or on the other,
    // if it is another one that still runs; else invalid.
    core::NodeId previousHomeOf(std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const;
    // True when the last earlier home of the flow runs no more.
    bool hasLostHome(std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const;
    const std::vector<RingMember>& members() const { return m_members; }
    std::size_t homeCount() const;

private:
    struct Previous {
        std::vector<RingMember> members;
        core::TimePoint until;
    };

    bool isRunning(core::NodeId) const;

    std::vector<RingMember> m_members;
    // Newest last.
    std::vector<Previous> m_previous;
};

} // namespace ibisgw::flow
