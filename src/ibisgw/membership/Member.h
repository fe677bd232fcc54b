#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/membership/MemberState.h"

#include <string>

namespace ibisgw::membership {

// Bits of Member::roles.
inline constexpr std::uint8_t balancerRole = 1;
inline constexpr std::uint8_t controllerRole = 2;

// Entry of one daemon in the member list, as it is exchanged between daemons.
struct Member {
    core::NodeId id;
    std::string name;
    core::ZoneName zone;
    std::string region;
    std::string group;
    std::uint8_t roles { balancerRole };
    // Increases with each change that the daemon makes to its own entry, as in SWIM.
    core::Incarnation incarnation { 0 };
    MemberState state { MemberState::Alive };
    // The daemon holds the newest known revision and all flow records, so that it can be the home of flows: the
    // balancer that places them and keeps their records.
    bool isSynchronized { false };
    // Revision in force on the daemon.
    core::Revision revision { 0 };
    // For a suspect: the member that suspects it. Suspicions by different members shorten the timeout (Lifeguard,
    // section IV-B).
    core::NodeId suspectedBy;

    bool operator==(const Member&) const = default;

    bool isBalancer() const { return (roles & balancerRole) != 0; }
    // Whether the two daemons are in one zone or one balancer group. Such daemons hold each other as members and probe
    // each other.
    bool sharesScopeWith(const Member& other) const
    {
        return zone == other.zone || (!group.empty() && group == other.group);
    }
};

} // namespace ibisgw::membership
