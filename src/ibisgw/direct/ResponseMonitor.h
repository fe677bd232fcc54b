#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ibisgw::direct {

enum class ProbeResult : std::uint8_t {
    Answered,
    Refused, // the VM answers, the process does not
    NoAnswer,
};

// Answers the silent loss of upstreams: callers repeat packets until their deadline, because nobody tells them. An
// upstream whose callers repeat packets without any progress is probed, and counts as unresponsive when the probes
// fail as well. Any sign of progress ends that.
class ResponseMonitor {
public:
    // A caller repeated a packet that had been forwarded to the upstream.
    void noteRepeated(upstream::InstanceId, core::TimePoint now);
    // Another daemon says that the upstream is silent: it is probed here, too.
    void noteSuspected(upstream::InstanceId id, core::TimePoint now) { noteRepeated(id, now); }
    // The upstream reports itself: if it is unresponsive here, it is probed without delay.
    void noteReporting(upstream::InstanceId, core::TimePoint now);
    // A caller showed that the upstream has sent something new.
    void noteProgress(upstream::InstanceId);
    void noteProbe(upstream::InstanceId, ProbeResult, core::TimePoint now);
    // Probes that were running while this process stood still say nothing.
    void discardProbes();
    void forget(upstream::InstanceId id) { m_states.erase(id); }

    // Upstreams to probe now; each is expected to be reported with noteProbe().
    std::vector<upstream::InstanceId> takeProbes(core::TimePoint now);
    bool isUnresponsive(upstream::InstanceId) const;
    // Grows each time an upstream becomes unresponsive.
    std::uint64_t lossCount() const { return m_lossCount; }

private:
    struct State {
        std::uint32_t repeats { 0 };
        std::uint32_t failures { 0 };
        bool isProbing { false };
        bool isUnresponsive { false };
        core::TimePoint nextProbe;
        // Between probes of an unresponsive upstream.
        core::Duration probeInterval { 0 };
        core::TimePoint lastRepeatAt;
    };

    std::unordered_map<upstream::InstanceId, State> m_states;
    std::uint64_t m_lossCount { 0 };
};

} // namespace ibisgw::direct
