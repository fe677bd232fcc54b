#include "ibisgw/request/AdmissionQueue.h"

#include <algorithm>

namespace ibisgw::request {

namespace {

// Weight of the newest interval between departures in their mean, which covers about the last 16 departures.
constexpr double departureGapWeight = 1.0 / 16;
// An open may wait for this share of its remaining deadline; the rest is reserved for the execution.
constexpr double maxWaitShareOfDeadline = 0.25;

} // namespace

bool AdmissionQueue::push(
    const core::FlowKey& flow, const Deadline& deadline, std::size_t countLimit, core::TimePoint now)
{
    if (m_flows.size() >= countLimit)
        return false;
    const auto remaining = deadline.remaining(now);
    const auto wait = expectedWait(now);
    if (remaining && wait && core::toSeconds(*wait) > maxWaitShareOfDeadline * core::toSeconds(*remaining))
        return false;
    m_flows.push_back(flow);
    return true;
}

std::optional<core::FlowKey> AdmissionQueue::pop()
{
    if (m_flows.empty())
        return std::nullopt;
    const auto flow = m_flows.front();
    m_flows.pop_front();
    return flow;
}

void AdmissionQueue::erase(const core::FlowKey& flow)
{
    const auto it = std::ranges::find(m_flows, flow);
    if (it != m_flows.end())
        m_flows.erase(it);
}

void AdmissionQueue::recordDeparture(bool isAtFullCapacity, core::TimePoint now)
{
    if (!isAtFullCapacity) {
        m_lastDepartureAt.reset();
        return;
    }
    if (m_lastDepartureAt) {
        const auto departureGapSeconds = core::toSeconds(now - *m_lastDepartureAt);
        m_meanDepartureGapSeconds = m_meanDepartureGapSeconds == 0
            ? departureGapSeconds
            : m_meanDepartureGapSeconds + departureGapWeight * (departureGapSeconds - m_meanDepartureGapSeconds);
    }
    m_lastDepartureAt = now;
}

std::optional<core::Duration> AdmissionQueue::expectedWait(core::TimePoint now) const
{
    if (!m_lastDepartureAt || m_meanDepartureGapSeconds == 0)
        return std::nullopt;
    // If departures pause for more than twice the mean interval, half of the pause replaces it in the estimate.
    const auto departureGapSeconds = std::max(m_meanDepartureGapSeconds, core::toSeconds(now - *m_lastDepartureAt) / 2);
    const auto seconds = departureGapSeconds * static_cast<double>(m_flows.size() + 1);
    return core::Duration(static_cast<core::Duration::rep>(seconds * 1e6));
}

} // namespace ibisgw::request
