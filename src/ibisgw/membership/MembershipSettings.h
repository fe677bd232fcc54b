#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/ControlBudget.h"
#include "ibisgw/membership/Member.h"

#include <vector>

namespace ibisgw::membership {

// Rules that protect the group. Production code leaves them on; each is switched off in a test that shows
// that a check detects the damage.
struct MembershipRules {
    bool rejoinAfterPause { true };
    bool keepViewInIsolation { true };
    bool refuteSuspicions { true };
    bool reserveBudgetForMembership { true };
    bool waitForNewestRevision { true };
};

struct MembershipSettings {
    // The daemon's own entry. Its incarnation must be larger after each restart, such as the time in ms.
    Member self;
    // Some daemons to meet the others, of this zone and of others.
    std::vector<core::NodeId> seeds;
    std::size_t controlBytesPerSecond { ControlBudget::defaultBytesPerSecond };
    MembershipRules rules;
};

// A daemon calls MembershipNode::tick at this interval.
inline constexpr core::Duration tickInterval = std::chrono::milliseconds(50);

// Time between two probes of one daemon; every member is probed about twice a second by someone.
inline constexpr core::Duration probeInterval = std::chrono::milliseconds(500);
// Round trips take up to 7 ms between zones; the rest is for busy daemons.
inline constexpr core::Duration directProbeTimeout = std::chrono::milliseconds(150);
inline constexpr std::size_t indirectProbes = 3;

// A suspect that several members report is declared dead after the shorter time (Lifeguard, section IV-B).
// 1.5 s hold seven gossip rounds and three probes of the suspect, which all must be lost for a false death.
inline constexpr core::Duration minSuspicion = std::chrono::milliseconds(1500);
inline constexpr core::Duration maxSuspicion = std::chrono::milliseconds(2400);

// A process that did not run for longer may have been declared dead meanwhile.
inline constexpr core::Duration pauseLimit = minSuspicion;
// Without a message from anyone for this time, contact is lost. Shorter than minSuspicion plus the probe that
// precedes it, so that an isolated daemon notices before it would declare the first member dead.
inline constexpr core::Duration isolationLimit = std::chrono::milliseconds(1400);

} // namespace ibisgw::membership
