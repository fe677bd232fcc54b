#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/direct/LinkCongestion.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

enum class ProbeResult : std::uint8_t {
    Answered,
    Refused, // the VM responds, but no process listens at the port
    NoAnswer,
    NotSent, // this VM lacked a resource, so nothing is known about the upstream
};

// Detects upstreams that stop responding without notice, so that their callers needn't retransmit packets until their
// deadline. An upstream whose callers retransmit packets without any progress is probed, and becomes unresponsive when
// the probes fail as well. Progress of any of its flows or a successful probe ends this state. While this balancer's
// link is congested, retransmissions and probes without an answer are ignored, and no probe starts. A refused probe
// counts.
class ResponseMonitor {
public:
    explicit ResponseMonitor(LinkCongestion&);

    // A caller retransmitted a packet that had been forwarded to the upstream.
    void noteRetransmission(upstream::InstanceId, core::TimePoint now);
    // Another daemon reports that the upstream is silent: it is probed by this balancer, too.
    void noteSuspected(upstream::InstanceId, core::TimePoint now);
    // The upstream has sent a report: if it is unresponsive, it is probed without delay.
    void noteReporting(upstream::InstanceId, core::TimePoint now);
    // A packet of a caller shows that the upstream has accepted its flow or has sent new data.
    void noteProgress(upstream::InstanceId);
    void noteProbe(upstream::InstanceId, ProbeResult, core::TimePoint now);
    // Ignores the result of the outstanding probe. The next one starts later, with exponential backoff.
    void discardProbe(upstream::InstanceId, core::TimePoint now);
    // Ignores the results of all outstanding probes, which mean nothing if this process was suspended meanwhile.
    void discardProbes();
    void remove(upstream::InstanceId id) { m_states.erase(id); }

    // Returns the upstreams to probe now. The caller must pass the result of each probe to noteProbe().
    std::vector<upstream::InstanceId> takeProbes(core::TimePoint now);
    bool isUnresponsive(upstream::InstanceId) const;
    // Whether the upstream is unresponsive and its VM hasn't refused the last probe, or its callers have retransmitted
    // packets since its last progress.
    bool isSilent(upstream::InstanceId) const;
    // Number of silent upstreams.
    std::size_t silentCount() const;
    // Number of times that an upstream has become unresponsive.
    std::uint64_t lossCount() const { return m_lossCount; }

private:
    struct State {
        // Suspicions of other daemons are no observations of this balancer.
        bool isSilent() const { return !isRefused && (isUnresponsive || retransmissions > 0); }
        bool isSuspect() const { return isUnresponsive || isSuspectedElsewhere || retransmissions > 0; }
        void clearSuspicion();

        // Retransmissions since the last progress.
        std::uint32_t retransmissions { 0 };
        // Failed probes in a row.
        std::uint32_t probeFailures { 0 };
        // Another daemon has reported the upstream as silent since its last progress.
        bool isSuspectedElsewhere { false };
        bool isProbing { false };
        bool isUnresponsive { false };
        // The last failed probe was refused.
        bool isRefused { false };
        core::TimePoint probedAt;
        core::TimePoint nextProbe;
        // Interval after the last failed or ignored probe; 0 before the first.
        core::Duration probeInterval { 0 };
        // When a caller retransmitted a packet or another daemon reported the upstream last.
        core::TimePoint lastSuspicionAt;
    };

    LinkCongestion& m_congestion;
    std::unordered_map<upstream::InstanceId, State> m_states;
    std::uint64_t m_lossCount { 0 };
};

} // namespace ibisgw::direct
