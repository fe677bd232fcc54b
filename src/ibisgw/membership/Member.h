#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/membership/MemberState.h"

#include <string>

namespace ibisgw::membership {

// Bits of Member::roles.
inline constexpr std::uint8_t balancerRole = 1;
inline constexpr std::uint8_t controllerRole = 2;

// What daemons tell each other about one daemon.
struct Member {
    core::NodeId id;
    std::string name;
    core::ZoneName zone;
    std::string region;
    std::string group;
    std::uint8_t roles { balancerRole };
    // Grows with each change that the daemon makes to its own entry.
    core::Incarnation incarnation { 0 };
    MemberState state { MemberState::Alive };
    // Holds the newest known revision and the flow records, so that it can be a home.
    bool isSynchronized { false };
    core::Revision revision { 0 };
    // Who reports a suspicion; independent reports shorten its timeout (Lifeguard, section IV-B).
    core::NodeId accuser;

    bool operator==(const Member&) const = default;

    bool isBalancer() const { return (roles & balancerRole) != 0; }
    // Daemons probe the members of their zone and of their balancer group.
    bool sharesScopeWith(const Member& other) const
    {
        return zone == other.zone || (!group.empty() && group == other.group);
    }
};

} // namespace ibisgw::membership
