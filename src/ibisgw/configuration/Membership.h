#pragma once

#include "ibisgw/core/Ids.h"

#include <compare>
#include <cstdint>
#include <map>
#include <vector>

namespace ibisgw::configuration {

// Random number that is assigned to a data folder when the folder is created. A controller with a replaced disk has a
// different identity and is therefore not counted as the voter that had the old disk.
using DiskIdentity = std::uint64_t;

// One of the disks that a controller has had.
struct ControllerDisk {
    core::NodeId node;
    DiskIdentity disk { 0 };

    auto operator<=>(const ControllerDisk&) const = default;
};

// Orders the members of a group by the time of their admission, the latest last. All controllers that take part in the
// first start have the same number.
using AdmissionNumber = std::uint64_t;
inline constexpr AdmissionNumber initialAdmission = 1;

// One controller of the group: a voter or a learner.
struct Member {
    core::NodeId node;
    DiskIdentity disk { 0 };
    bool voter { false };
    // Latest start of the controller that is recorded in the log; see StoredState.
    std::uint64_t generation { 0 };
    std::uint64_t startNonce { 0 };
    // Empty for a controller that was admitted by an earlier release.
    core::ZoneName zone {};
    AdmissionNumber admission { 0 };

    ControllerDisk controllerDisk() const { return { node, disk }; }
    bool operator==(const Member&) const = default;
};

// The controllers of one Raft group. A member is identified by its node and its disk.
struct Membership {
    // Identifier of the group: the disk identity of the controller that bootstrapped it. Messages from other groups
    // are dropped. 0 while the controller belongs to no group.
    std::uint64_t group { 0 };
    std::vector<Member> members {};
    // Number of controllers of each zone that took part in the first start.
    std::map<core::ZoneName, std::size_t> initialControllers {};
    // Controllers that were removed without having announced it, the latest last. They may have been partitioned, so
    // the leader goes on to tell them where the group is.
    std::vector<Member> absent {};

    const Member* find(core::NodeId) const;
    bool isVoter(core::NodeId, DiskIdentity) const;
    std::size_t voterCount() const;
    std::size_t initialControllerCount() const;
    std::vector<core::NodeId> nodes() const;
    std::vector<core::NodeId> voters() const;
    // Whether other controllers vote in place of this one: at least as many voters of its zone as took part in the
    // first start were admitted after it.
    bool isReplaced(const Member&) const;
    // Quorum size: any two sets of this many voters have a voter in common.
    std::size_t majority() const { return voterCount() / 2 + 1; }
    // Number of voters with lost disks that a quorum may include. Two majorities of an even number of voters have two
    // voters in common, so one of these two may have lost its disk. With two voters a single disk would be left.
    std::size_t lostVoterAllowance() const { return voterCount() >= 4 && voterCount() % 2 == 0 ? 1 : 0; }
    // Adds a controller as a learner, or makes a member with a new disk one.
    void admit(Member, bool isFirstStart);
    // Replaces the member with the same node, or adds it.
    void put(const Member&);
    void setVoter(core::NodeId, bool isVoter);
    void remove(core::NodeId);
    // Removes a member and remembers it as absent.
    void removeAsAbsent(core::NodeId);

    bool operator==(const Membership&) const = default;

private:
    const Member* findAbsent(core::NodeId) const;
    AdmissionNumber nextAdmission() const;
};

} // namespace ibisgw::configuration
