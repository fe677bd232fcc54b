#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <vector>

namespace ibisgw::configuration {

// Random number that a data folder gets when it is created. A controller whose disk was replaced
// has another one, so it is not taken for the voter that it was.
using DiskIdentity = std::uint64_t;

struct Member {
    core::NodeId node;
    DiskIdentity disk { 0 };
    bool voter { false };
    // Latest start of the controller that the group knows: number and random number of the start.
    std::uint64_t generation { 0 };
    std::uint64_t startNonce { 0 };

    bool operator==(const Member&) const = default;
};

// The controllers of one group. A member is a node together with its disk.
struct Membership {
    // Disk identity of the founder; messages of another group are dropped. 0 means no group yet.
    std::uint64_t group { 0 };
    std::vector<Member> members;

    const Member* find(core::NodeId) const;
    bool isVoter(core::NodeId, DiskIdentity) const;
    std::size_t voterCount() const;
    std::vector<core::NodeId> nodes() const;
    // Smallest number of voters of which any two sets have a common voter.
    std::size_t majority() const { return voterCount() / 2 + 1; }
    // Replaces the member with the same node, or adds it.
    void put(const Member&);
    void remove(core::NodeId);

    bool operator==(const Membership&) const = default;
};

} // namespace ibisgw::configuration
