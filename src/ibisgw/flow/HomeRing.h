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

struct PreviousHome {
    core::NodeId node;
    // When the ring changed in which it was the home.
    core::TimePoint until;
};

// Chooses the home balancer of a flow by rendezvous hashing over the synchronized balancers of the
// flow's zone, so that a change of one balancer moves only the flows of that balancer.
class HomeRing {
public:
    // For this long a home asks the flow's earlier homes about a flow that it does not know.
    static constexpr core::Duration changeRetention = std::chrono::seconds(60);

    void setMembers(std::vector<RingMember>, core::TimePoint now);
    // As above for a balancer that joins with the change and does not know the rings before it.
    void join(std::vector<RingMember>, core::NodeId self, core::TimePoint now);

    // Invalid when the ring is empty. Without members in the zone, or without a zone, all members count.
    core::NodeId homeOf(std::uint64_t flowHash, const core::ZoneName* zone) const;
    // Distinct homes of the flow in the retained rings, newest first, at most maxPreviousHomes, and its home on the
    // other side of a partition that has ended.
    std::vector<PreviousHome> previousHomesOf(
        std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const;
    // True when the last earlier home of the flow runs no more.
    bool hasLostHome(std::uint64_t flowHash, const core::ZoneName* zone, core::TimePoint now) const;
    const std::vector<RingMember>& members() const { return m_members; }
    std::size_t homeCount() const;
    // Leaving balancers run still.
    bool isRunning(core::NodeId) const;

private:
    // Bounds the questions about one packet.
    static constexpr std::size_t maxPreviousHomes = 4;

    struct Previous {
        std::vector<RingMember> members;
        core::TimePoint until;
        // This balancer joined with the change.
        bool joined { false };
    };

    void retain(std::vector<RingMember>, core::TimePoint now, bool joined);

    std::vector<RingMember> m_members;
    // Newest last.
    std::vector<Previous> m_previous;
};

} // namespace ibisgw::flow
