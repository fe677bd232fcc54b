#include "ibisgw/direct/ResponseMonitor.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

// A single failed probe may have been lost on the network.
constexpr std::uint32_t probeFailureThreshold = 2;

// Interval between probes of an upstream that answers them while its callers retransmit packets.
constexpr core::Duration answeredProbeInterval = std::chrono::milliseconds(500);

// An unresponsive upstream is probed with exponential backoff until it answers or leaves the directory. At a constant
// rate a large fleet would send more bytes of probes to a dead VM than it receives from a running one.
constexpr core::Duration minUnresponsiveProbeInterval = std::chrono::seconds(1);
constexpr core::Duration maxUnresponsiveProbeInterval = std::chrono::seconds(8);

// Longest interval after probes whose result is ignored. At a constant 500 ms, a balancer with 3,000 upstreams opened
// 153 connections a second while many of them were silent.
constexpr core::Duration maxIgnoredProbeInterval = std::chrono::seconds(4);

// An upstream isn't suspected any more after this time without retransmissions.
constexpr core::Duration suspicionTimeout = std::chrono::seconds(2);

} // namespace

void ResponseMonitor::State::clearSuspicion()
{
    retransmissions = probeFailures = 0;
    isUnresponsive = isSuspectedElsewhere = false;
}

ResponseMonitor::ResponseMonitor(LinkCongestion& congestion)
    : m_congestion(congestion)
{
}

void ResponseMonitor::noteRetransmission(upstream::InstanceId id, core::TimePoint now)
{
    if (m_congestion.discards(now))
        return;
    auto& state = m_states[id];
    ++state.retransmissions;
    state.lastSuspicionAt = now;
}

void ResponseMonitor::noteSuspected(upstream::InstanceId id, core::TimePoint now)
{
    auto& state = m_states[id];
    state.isSuspectedElsewhere = true;
    state.lastSuspicionAt = now;
}

void ResponseMonitor::noteReporting(upstream::InstanceId id, core::TimePoint now)
{
    const auto found = m_states.find(id);
    if (found != m_states.end() && found->second.isUnresponsive)
        found->second.nextProbe = now;
}

void ResponseMonitor::noteProgress(upstream::InstanceId id)
{
    const auto found = m_states.find(id);
    if (found == m_states.end())
        return;
    found->second.clearSuspicion();
}

void ResponseMonitor::noteProbe(upstream::InstanceId id, ProbeResult result, core::TimePoint now)
{
    const auto found = m_states.find(id);
    if (found == m_states.end() || !found->second.isProbing)
        return;
    auto& state = found->second;
    state.isProbing = false;
    if (result == ProbeResult::NoAnswer && m_congestion.discards(state.probedAt))
        return;
    if (result == ProbeResult::Answered) {
        state.clearSuspicion();
        state.probeInterval = {};
        state.nextProbe = now + answeredProbeInterval;
        return;
    }
    // Progress since the probe was sent overrides the failed probe.
    if (!state.isSuspect())
        return;
    ++state.probeFailures;
    state.isRefused = result == ProbeResult::Refused;
    if (!state.isUnresponsive && state.probeFailures >= probeFailureThreshold) {
        state.isUnresponsive = true;
        ++m_lossCount;
    }
    state.nextProbe = now;
    if (!state.isUnresponsive)
        return;
    state.probeInterval
        = std::clamp(2 * state.probeInterval, minUnresponsiveProbeInterval, maxUnresponsiveProbeInterval);
    state.nextProbe += state.probeInterval;
}

void ResponseMonitor::discardProbe(upstream::InstanceId id, core::TimePoint now)
{
    const auto found = m_states.find(id);
    if (found == m_states.end() || !found->second.isProbing)
        return;
    auto& state = found->second;
    state.isProbing = false;
    state.probeInterval = std::clamp(2 * state.probeInterval, answeredProbeInterval, maxIgnoredProbeInterval);
    state.nextProbe = now + state.probeInterval;
}

void ResponseMonitor::discardProbes()
{
    for (auto& [id, state] : m_states)
        state.isProbing = false;
}

std::vector<upstream::InstanceId> ResponseMonitor::takeProbes(core::TimePoint now)
{
    std::vector<upstream::InstanceId> ids;
    for (auto it = m_states.begin(); it != m_states.end();) {
        auto& state = it->second;
        if (!state.isProbing && !state.isUnresponsive && now - state.lastSuspicionAt > suspicionTimeout) {
            it = m_states.erase(it);
            continue;
        }
        if (!m_congestion.isCongested(now) && !state.isProbing && now >= state.nextProbe && state.isSuspect()) {
            state.isProbing = true;
            state.probedAt = now;
            ids.push_back(it->first);
        }
        ++it;
    }
    return ids;
}

bool ResponseMonitor::isUnresponsive(upstream::InstanceId id) const
{
    const auto found = m_states.find(id);
    return found != m_states.end() && found->second.isUnresponsive;
}

bool ResponseMonitor::isSilent(upstream::InstanceId id) const
{
    const auto found = m_states.find(id);
    return found != m_states.end() && found->second.isSilent();
}

std::size_t ResponseMonitor::silentCount() const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_states, [](const auto& it) { return it.second.isSilent(); }));
}

} // namespace ibisgw::direct
