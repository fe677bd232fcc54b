#pragma once

#include "support/ControllerGroup.h"

namespace support {

struct ScheduleResult {
    std::map<ViolationKind, std::size_t> violations;
    std::string firstViolation;
    std::size_t accepted { 0 };
    std::size_t conflicts { 0 };
    // Disks that were wiped or replaced by an older copy.
    std::size_t lostDisks { 0 };
    // After the faults ended, all controllers voted again and a submission was accepted.
    bool recovered { false };

    std::size_t count(ViolationKind) const;
};

// Runs 3 or 5 controllers with racing operators through 20 s of random faults in virtual time:
// kills, failing syncs, pauses, cuts, loss, duplication, wiped and outdated disks. Equal seeds
// give equal runs. With an open membership silent controllers are removed and come back.
ScheduleResult runConfigurationSchedule(std::uint64_t seed, ibisgw::configuration::DisabledRules = {},
    ibisgw::configuration::MembershipMode = ibisgw::configuration::MembershipMode::Listed);

} // namespace support
