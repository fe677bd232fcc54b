#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/membership/MemberTable.h"

#include <map>
#include <vector>

namespace ibisgw::membership {

// Probes members in random order and decides when one is suspected or dead: SWIM (Das et al., 2002) with the
// local health multiplier of Lifeguard (Dadgar et al., 2018), section IV-A.
class FailureDetector {
public:
    // Carries out what the detector decides.
    class Actions {
    public:
        virtual ~Actions();

        virtual void sendPing(core::NodeId target, std::uint64_t probe) = 0;
        virtual void sendPingRequest(core::NodeId helper, core::NodeId target, std::uint64_t probe) = 0;
        virtual void suspect(core::NodeId) = 0;
        virtual void declareDead(core::NodeId) = 0;
    };

    FailureDetector(const MemberTable&, core::RandomSource&);

    // While deaths are held back, probes go on but nobody is declared dead.
    void tick(core::TimePoint now, bool holdBackDeaths, Actions&);
    void noteAck(std::uint64_t probe);
    // This daemon itself was suspected or ran late, so its own observations count less.
    void noteOwnTrouble();
    // Forgets the probe in progress, after a pause or a change of identity.
    void reset(core::TimePoint now);
    std::uint64_t nextProbeNumber() { return ++m_lastProbe; }

    int localHealth() const { return m_localHealth; }

private:
    struct Probe {
        core::NodeId target;
        std::uint64_t number { 0 };
        core::TimePoint startedAt;
        bool isIndirect { false };
        bool isActive { false };
    };

    void checkProbe(core::TimePoint now, Actions&);
    void checkSuspects(core::TimePoint now, bool holdBackDeaths, Actions&);
    void startProbe(core::TimePoint now, Actions&);
    core::NodeId nextTarget();
    core::Duration suspicionTimeout(const MemberTable::Record&) const;
    core::Duration scaled(core::Duration duration) const { return duration * (1 + m_localHealth); }

    const MemberTable& m_members;
    core::RandomSource& m_random;
    // 0 is healthy; timeouts grow with it.
    int m_localHealth { 0 };
    std::uint64_t m_lastProbe { 0 };
    Probe m_probe;
    core::TimePoint m_nextProbeAt;
    // Members of the present round that remain to be probed.
    std::vector<core::NodeId> m_round;
    // When each suspect is pinged again, to give it a chance to refute.
    std::map<core::NodeId, core::TimePoint> m_nextSuspectPing;
};

} // namespace ibisgw::membership
