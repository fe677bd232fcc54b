#include "ibisgw/request/AdmissionQueue.h"

#include <algorithm>

namespace ibisgw::request {

namespace {

// Weight of the newest gap; about the last 16 departures count.
constexpr double gapWeight = 1.0 / 16;
// The rest of the deadline stays for the execution.
constexpr double waitShareOfDeadline = 0.25;

} // namespace

bool AdmissionQueue::push(
    const core::FlowKey& flow, const Deadline& deadline, std::size_t countLimit, core::TimePoint now)
{
    if (m_flows.size() >= countLimit)
        return false;
    const auto remaining = deadline.remaining(now);
    const auto wait = expectedWait(now);
    if (remaining && wait && core::toSeconds(*wait) > waitShareOfDeadline * core::toSeconds(*remaining))
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

void AdmissionQueue::recordDeparture(bool atFullCapacity, core::TimePoint now)
{
    if (!atFullCapacity) {
        m_lastDepartureAt.reset();
        return;
    }
    if (m_lastDepartureAt) {
        const auto gap = core::toSeconds(now - *m_lastDepartureAt);
        m_gapSeconds = m_gapSeconds == 0 ? gap : m_gapSeconds + gapWeight * (gap - m_gapSeconds);
    }
    m_lastDepartureAt = now;
}

std::optional<core::Duration> AdmissionQueue::expectedWait(core::TimePoint now) const
{
    if (!m_lastDepartureAt || m_gapSeconds == 0)
        return std::nullopt;
    // A pause of departures that is longer than the mean gap raises the estimate.
    const auto gap = std::max(m_gapSeconds, core::toSeconds(now - *m_lastDepartureAt) / 2);
    const auto seconds = gap * static_cast<double>(m_flows.size() + 1);
    return core::Duration(static_cast<core::Duration::rep>(seconds * 1e6));
}

} // namespace ibisgw::request
