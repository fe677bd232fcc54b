#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/membership/MemberTable.h"

#include <map>
#include <vector>

namespace ibisgw::membership {

// Probes members in random order and decides when a member is suspected and when it is declared dead: SWIM (Das et al.,
// 2002) with the local health multiplier of Lifeguard (Dadgar et al., 2018), section IV-A.
class FailureDetector {
public:
    // Sends the messages and applies the state changes that the detector decides on.
    class Actions {
    public:
        virtual ~Actions();

        virtual void sendPing(core::NodeId target, std::uint64_t probe) = 0;
        virtual void sendPingRequest(core::NodeId helper, core::NodeId target, std::uint64_t probe) = 0;
        virtual void suspect(core::NodeId) = 0;
        virtual void declareDead(core::NodeId) = 0;
    };

    FailureDetector(const MemberTable&, core::RandomSource&);

    // To be called every tickInterval. With suppressDeaths, probing goes on but no suspect is declared dead.
    void tick(core::TimePoint now, bool suppressDeaths, Actions&);
    // An ack for the probe with this number has arrived.
    void noteAck(std::uint64_t probe);
    // Increases the timeouts, because a probe of this daemon failed or because a peer suspected this daemon: the cause
    // may be that this daemon processes messages too slowly.
    void degradeLocalHealth();
    // Abandons the probe in progress and starts a new round: at the start of the process, after a pause, or after a
    // change of identity.
    void reset(core::TimePoint now);
    std::uint64_t nextProbeNumber() { return ++m_lastProbe; }

    // Local health score of Lifeguard, 0 to 4; see m_localHealth.
    int localHealth() const { return m_localHealth; }

private:
    struct Probe {
        core::NodeId target;
        std::uint64_t number { 0 };
        core::TimePoint startedAt;
        // Ping requests were sent, because the target did not answer in time.
        bool isIndirect { false };
        bool isActive { false };
    };

    void checkProbe(core::TimePoint now, Actions&);
    void checkSuspects(core::TimePoint now, bool suppressDeaths, Actions&);
    void startProbe(core::TimePoint now, Actions&);
    core::NodeId nextTarget();
    core::Duration suspicionTimeout(const MemberTable::Record&) const;
    core::Duration scaled(core::Duration duration) const { return duration * (1 + m_localHealth); }

    const MemberTable& m_members;
    core::RandomSource& m_random;
    // Probe timeouts are multiplied by one plus this score; 0 is healthy.
    int m_localHealth { 0 };
    std::uint64_t m_lastProbe { 0 };
    Probe m_probe;
    core::TimePoint m_nextProbeAt;
    // Members that remain to be probed in the present round.
    std::vector<core::NodeId> m_round;
    // Time of the next ping to each suspect. A suspect is notified by these pings and can refute the suspicion.
    std::map<core::NodeId, core::TimePoint> m_nextSuspectPing;
};

} // namespace ibisgw::membership
