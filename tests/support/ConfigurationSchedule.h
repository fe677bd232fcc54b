#pragma once

#include "support/ControllerGroup.h"

namespace support {

// Outcome of one run of runConfigurationSchedule().
struct ScheduleResult {
    std::map<ViolationKind, std::size_t> violations;
    std::string firstViolation;
    std::size_t accepted { 0 };
    std::size_t conflicts { 0 };
    // Number of times that a disk was wiped or replaced by an older copy.
    std::size_t lostDisks { 0 };
    // Number of controllers that are gone for good.
    std::size_t gone { 0 };
    // Whether, after the end of the faults, all controllers became voters again and a submission was accepted.
    bool hasRecovered { false };

    std::size_t count(ViolationKind) const;
};

enum class DiskLosses : std::uint8_t {
    LeaveMajority, // 3 or 5 controllers; a majority of the voters always have their disks
    LeaveQuorum, // 4 or 6 controllers; one disk more may be lost, as the quorums of an even number of voters allow
};

enum class Replacements : std::uint8_t {
    None,
    InEachZone, // a successor of each controller joins at some time, and the replaced ones are gone for good
};

// Runs a group of controllers through 20 s of random faults in virtual time, while operators submit concurrent changes
// with the same base revision. The faults are kills, failed syncs, pauses, cuts, message loss and duplication, and
// wiped or outdated disks. Equal seeds give equal runs. With an open membership unreachable controllers are removed and
// join again. Disabled rules show that the checks detect the violations which these rules prevent.
ScheduleResult runConfigurationSchedule(std::uint64_t seed, ibisgw::configuration::DisabledRules = {},
    ibisgw::configuration::MembershipMode = ibisgw::configuration::MembershipMode::Listed,
    DiskLosses = DiskLosses::LeaveMajority, Replacements = Replacements::None);

} // namespace support
