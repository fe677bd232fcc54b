#include "ibisgw/direct/UnansweredRequestMonitor.h"

#include <algorithm>
#include <utility>

namespace ibisgw::direct {

namespace {

// Weight of one request in the share of answered requests of its route.
constexpr double sampleWeight = 0.02;
constexpr std::uint32_t minSamples = 50;
// Below this share the missing answers have a common cause, or the answers aren't seen here.
constexpr double minAnsweredShare = 0.75;

constexpr core::Duration minAvoidancePeriod = std::chrono::seconds(1);
constexpr core::Duration maxAvoidancePeriod = std::chrono::seconds(8);

// Controllers repeat their marks twice in this time.
constexpr core::Duration sharedMarkLifetime = std::chrono::seconds(1);
// Balancers try an upstream again one after the other: it seems idle to all of them, and those that try it before the
// first missing answer is reported lose a request each.
constexpr std::chrono::duration<double> trialSpread { 6 };
// Limits the reports of one upstream, and all reports of this balancer to about 2 kB/s.
constexpr core::Duration minReportInterval = std::chrono::seconds(1);
constexpr core::Duration reportBatchInterval = std::chrono::milliseconds(250);
constexpr std::size_t maxReportsInBatch = 4;

} // namespace

void UnansweredRequestMonitor::setRoutes(const std::vector<Route>& routes)
{
    std::unordered_map<core::Endpoint, RouteAnswers> answers;
    for (const auto& it : routes)
        answers[it.address] = m_routes[it.address];
    m_routes = std::move(answers);
}

bool UnansweredRequestMonitor::record(core::Endpoint route, bool isAnswered)
{
    const auto found = m_routes.find(route);
    if (found == m_routes.end())
        return false;
    auto& answers = found->second;
    const double weight = std::max(sampleWeight, 1.0 / ++answers.samples);
    answers.answeredShare += weight * ((isAnswered ? 1.0 : 0.0) - answers.answeredShare);
    return answers.samples >= minSamples && answers.answeredShare >= minAnsweredShare;
}

void UnansweredRequestMonitor::noteAnswered(core::Endpoint route, upstream::InstanceId id)
{
    record(route, true);
    noteProgress(id);
}

void UnansweredRequestMonitor::noteUnanswered(core::Endpoint route, upstream::InstanceId id, core::TimePoint now)
{
    if (!record(route, false))
        return;
    auto& state = m_instances[id];
    if (now >= state.avoidedUntil) {
        state.period = std::clamp(2 * state.period, minAvoidancePeriod, maxAvoidancePeriod);
        state.avoidedUntil = now + state.period;
    }
    if (now < state.nextReport || m_reports.size() >= maxReportsInBatch)
        return;
    state.nextReport = now + minReportInterval;
    m_reports.push_back(id);
}

void UnansweredRequestMonitor::noteShared(upstream::InstanceId id, double position, core::TimePoint now)
{
    const auto delay = std::chrono::duration_cast<core::Duration>(position * trialSpread);
    m_instances[id].sharedUntil = now + sharedMarkLifetime + delay;
}

bool UnansweredRequestMonitor::isFailing(upstream::InstanceId id, core::TimePoint now) const
{
    const auto found = m_instances.find(id);
    return found != m_instances.end() && isFailing(found->second, now);
}

std::vector<upstream::InstanceId> UnansweredRequestMonitor::takeReports(core::TimePoint now)
{
    if (m_reports.empty() || now < m_nextReports)
        return {};
    m_nextReports = now + reportBatchInterval;
    return std::exchange(m_reports, {});
}

std::size_t UnansweredRequestMonitor::failingInstances(core::TimePoint now) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_instances, [now](const auto& it) { return isFailing(it.second, now); }));
}

} // namespace ibisgw::direct
