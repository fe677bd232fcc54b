#include "ibisgw/direct/ResponseMonitor.h"

#include <algorithm>

namespace ibisgw::direct {

namespace {

// One probe may be lost on its way.
constexpr std::uint32_t failureLimit = 2;

// An upstream that answers probes while its callers repeat packets is asked again after this time.
constexpr core::Duration answeredInterval = std::chrono::milliseconds(500);

// An unresponsive upstream is probed until it answers or is gone, less and less often: a large fleet would send more
// probes to a dead VM than it gets bytes from a living one.
constexpr core::Duration firstUnresponsiveInterval = std::chrono::seconds(1);
constexpr core::Duration longestUnresponsiveInterval = std::chrono::seconds(8);

// Without further repeats a suspicion is dropped.
constexpr core::Duration suspicionTime = std::chrono::seconds(2);

} // namespace

void ResponseMonitor::noteRepeated(upstream::InstanceId id, core::TimePoint now)
{
    auto& state = m_states[id];
    ++state.repeats;
    state.lastRepeatAt = now;
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
    auto& state = found->second;
    state.repeats = state.failures = 0;
    state.isUnresponsive = false;
}

void ResponseMonitor::noteProbe(upstream::InstanceId id, ProbeResult result, core::TimePoint now)
{
    const auto found = m_states.find(id);
    if (found == m_states.end() || !found->second.isProbing)
        return;
    auto& state = found->second;
    state.isProbing = false;
    if (result == ProbeResult::Answered) {
        state.failures = state.repeats = 0;
        state.isUnresponsive = false;
        state.probeInterval = {};
        state.nextProbe = now + answeredInterval;
        return;
    }
    // Progress since the probe was sent counts more than the probe.
    if (state.repeats == 0 && !state.isUnresponsive)
        return;
    ++state.failures;
    if (!state.isUnresponsive && state.failures >= failureLimit) {
        state.isUnresponsive = true;
        ++m_lossCount;
    }
    state.nextProbe = now;
    if (!state.isUnresponsive)
        return;
    state.probeInterval = std::clamp(2 * state.probeInterval, firstUnresponsiveInterval, longestUnresponsiveInterval);
    state.nextProbe += state.probeInterval;
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
        if (!state.isProbing && !state.isUnresponsive && now - state.lastRepeatAt > suspicionTime) {
            it = m_states.erase(it);
            continue;
        }
        if (!state.isProbing && now >= state.nextProbe && (state.repeats > 0 || state.isUnresponsive)) {
            state.isProbing = true;
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

} // namespace ibisgw::direct
