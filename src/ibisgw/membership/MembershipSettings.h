#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/ControlBudget.h"
#include "ibisgw/membership/Member.h"

#include <vector>

namespace ibisgw::membership {

// Safety rules of the protocol. Production code leaves all of them on. Each is switched off in one test, which shows
// that the checks of the other tests detect the resulting failure.
struct MembershipRules {
    // After a pause of the process: counts as not synchronized and requests the member list again.
    bool rejoinAfterPause { true };
    // While isolated, declares no member dead.
    bool keepViewInIsolation { true };
    bool refuteSuspicions { true };
    // Configuration leaves a part of the control budget to probes.
    bool reserveBudgetForMembership { true };
    // A daemon counts as synchronized only with the newest revision known in its scope in force and without gaps in the
    // flow records.
    bool waitForNewestRevision { true };
};

struct MembershipSettings {
    // Entry of this daemon. Its incarnation must be larger after each restart; the time in ms will do.
    Member self;
    // Daemons of this zone and of other zones from which the member list is requested at the start.
    std::vector<core::NodeId> seeds;
    std::size_t controlBytesPerSecond { ControlBudget::defaultBytesPerSecond };
    MembershipRules rules;
};

// Interval of the calls of MembershipNode::tick.
inline constexpr core::Duration tickInterval = std::chrono::milliseconds(50);

// Time between two probes that a daemon sends. Each member is thereby probed about twice a second, by all others
// together.
inline constexpr core::Duration probeInterval = std::chrono::milliseconds(500);
// Time without an ack after which ping requests are sent. Round trips between zones take up to 7 ms; the rest allows
// for busy daemons.
inline constexpr core::Duration directProbeTimeout = std::chrono::milliseconds(150);
// Number of members that receive a ping request.
inline constexpr std::size_t indirectProbes = 3;

// Time after which a suspect is declared dead: the shorter one when several members suspect it (Lifeguard, section
// IV-B). 1.5 s cover seven rounds of gossip and three probes of the suspect. All of these must be lost before a live
// member is declared dead.
inline constexpr core::Duration minSuspicion = std::chrono::milliseconds(1500);
inline constexpr core::Duration maxSuspicion = std::chrono::milliseconds(2400);

// A process that was suspended for longer may have been declared dead meanwhile, so it rejoins.
inline constexpr core::Duration pauseLimit = minSuspicion;
// A daemon that has received no message for this time counts as isolated. Shorter than minSuspicion plus the probe
// before it, so that an isolated daemon detects its state before it would declare the first member dead.
inline constexpr core::Duration isolationLimit = std::chrono::milliseconds(1400);

} // namespace ibisgw::membership
