#include "support/LoadReplay.h"
#include "support/InstanceReports.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <stdexcept>

namespace support {

using namespace ibisgw;
using namespace ibisgw::direct;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration callerDelay = 3ms;
constexpr core::Duration upstreamDelay = 1ms;
constexpr core::Duration tickPeriod = 25ms;
constexpr core::Duration pacerPeriod = 4ms;
constexpr core::Duration windowLength = 2s;
constexpr int tailFactor = 7;
constexpr const char* serviceName = "booking";

core::Duration secondsOf(double seconds)
{
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(seconds));
}

} // namespace

LoadReplay::LoadReplay(const LoadPattern& pattern, std::uint64_t seed)
    : m_pattern(pattern)
    , m_random(seed)
    , m_queue({}, m_random)
    , m_start(m_queue.now())
    , m_configuration(std::make_shared<RouteConfiguration>())
{
    if (!findProblems(pattern).empty())
        throw std::invalid_argument("load pattern: " + findProblems(pattern).front().message);
    addUpstreams();
    m_configuration->version = 1;
    m_configuration->services = { { serviceName } };
    for (const auto& it : pattern.routes)
        addRoute(it);
    for (unsigned n = 0; n < pattern.balancers; ++n) {
        m_balancers.push_back(std::make_unique<ReplayBalancer>(m_random.next(), pattern.linkBytesPerSecond,
            [this](const auto& segment, const auto& decision) { deliver(segment, decision); }));
        giveState(*m_balancers.back());
    }
}

void LoadReplay::addUpstreams()
{
    for (unsigned n = 0; n < m_pattern.upstreams; ++n) {
        m_upstreams.push_back(std::make_unique<ReplayUpstream>(m_queue, m_pattern.slots, m_pattern.queueLimit));
        auto report = makeReport(n + 1);
        report.service = serviceName;
        report.zone = n < localUpstreams() ? "a" : "b";
        report.slots = m_pattern.slots;
        m_reports.push_back(report);
    }
}

void LoadReplay::addRoute(const RoutePattern& pattern)
{
    const core::Endpoint address { 0xc6120001, static_cast<std::uint16_t>(8000 + m_routes.size()) };
    m_configuration->routes.push_back({ "r" + std::to_string(m_routes.size()), address, pattern.kind, pattern.priority,
        pattern.deadline, pattern.latencyObjective, { { serviceName, 1 } } });
    auto& route = m_routes.emplace_back(Route { pattern, address, {} });
    for (unsigned n = 0; n < pattern.persistentFlows; ++n)
        addCaller(route);
}

void LoadReplay::addCaller(Route& route)
{
    const auto address = static_cast<std::uint32_t>(0x64400001 + m_callers.size());
    auto& caller = route.callers.emplace_back(std::make_unique<ReplayCaller>(
        route.pattern, route.address, address, m_queue, [this](const FlowSegment& segment) {
            m_queue.after(callerDelay, [this, segment](auto now) { balancerOf(segment.flow).handle(segment, now); });
        }));
    m_callers[address] = caller.get();
}

ReplayReport LoadReplay::run()
{
    constexpr core::Duration settlingTime = 10s;
    const auto end = m_start + m_pattern.length;
    m_report.windows.resize((m_pattern.length + windowLength - 1us) / windowLength);
    m_report.seconds.resize((m_pattern.length + 1s - 1us) / 1s);
    m_report.goodput.resize((m_pattern.length + settlingTime) / 1s + 1);
    m_report.routes.resize(m_routes.size());
    scheduleFaults();
    scheduleTicks(end + settlingTime);
    if (m_pattern.linkBytesPerSecond > 0)
        scheduleReleases(end + settlingTime);
    for (std::size_t n = 0; n < m_routes.size(); ++n)
        scheduleArrival(n);
    m_queue.runUntil(end + settlingTime);
    for (const auto& it : m_upstreams)
        m_report.executed.push_back(it->executedCount());
    for (const auto& it : m_balancers)
        m_report.foundUnresponsive += it->foundUnresponsive();
    return m_report;
}

void LoadReplay::scheduleFaults()
{
    if (const auto& outage = m_pattern.outage) {
        for (auto& it : m_balancers) {
            const auto spread = static_cast<std::uint64_t>(outage->startSpread.count());
            const auto up = outage->processesUpAt + core::Duration(m_random.below(spread + 1));
            m_queue.at(m_start + outage->at, [&it](auto) { it->stop(); });
            m_queue.at(m_start + up, [&it](auto) { it->restart(); });
            m_queue.at(m_start + std::max(up, outage->stateAt), [&it, this](auto) { giveState(*it); });
        }
    }
    if (m_pattern.zoneFailure)
        scheduleZoneFailure(*m_pattern.zoneFailure);
    if (const auto& slowdown = m_pattern.slowdown) {
        for (unsigned n = 0; n < slowdown->upstreams; ++n) {
            m_queue.at(
                m_start + slowdown->from, [this, n](auto) { m_upstreams[n]->setSlowdown(m_pattern.slowdown->factor); });
            m_queue.at(m_start + slowdown->until, [this, n](auto) { m_upstreams[n]->setSlowdown(1); });
        }
    }
}

void LoadReplay::scheduleZoneFailure(const ZoneFailurePattern& failure)
{
    m_queue.at(m_start + failure.from, [this](auto) {
        for (std::size_t n = 0; n < localUpstreams(); ++n)
            m_upstreams[n]->setRunning(false);
    });
    m_queue.at(m_start + failure.until, [this](auto) { returnZone(); });
}

void LoadReplay::returnZone()
{
    for (std::size_t n = 0; n < localUpstreams(); ++n) {
        m_upstreams[n]->setRunning(true);
        ++m_reports[n].incarnation;
    }
    for (const auto& it : m_balancers)
        giveState(*it);
}

void LoadReplay::scheduleTicks(core::TimePoint until)
{
    if (m_queue.now() > until)
        return;
    m_queue.after(tickPeriod, [this, until](auto now) {
        for (const auto& it : m_balancers)
            it->tick(now);
        scheduleTicks(until);
    });
}

void LoadReplay::scheduleReleases(core::TimePoint until)
{
    if (m_queue.now() > until)
        return;
    m_queue.after(pacerPeriod, [this, until](auto now) {
        for (const auto& it : m_balancers)
            it->releasePackets(now);
        scheduleReleases(until);
    });
}

double LoadReplay::loadFactor() const
{
    const auto& burst = m_pattern.burst;
    const auto time = m_queue.now() - m_start;
    return burst && time >= burst->from && time < burst->until ? burst->factor : 1;
}

void LoadReplay::scheduleArrival(std::size_t route)
{
    const double rate = m_routes[route].pattern.requestsPerSecond * loadFactor();
    const auto gap = secondsOf(-std::log(1 - m_random.unit()) / rate);
    if (m_queue.now() + gap >= m_start + m_pattern.length)
        return;
    m_queue.after(gap, [this, route](auto) {
        startRequest(route);
        scheduleArrival(route);
    });
}

void LoadReplay::startRequest(std::size_t index)
{
    auto& route = m_routes[index];
    const auto& pattern = route.pattern;
    // Uniform in 0.4 to 1.6 of the mean.
    auto serviceTime = secondsOf(core::toSeconds(pattern.serviceTime) * (0.4 + 1.2 * m_random.unit()));
    if (m_pattern.tailShare > 0 && m_random.chance(m_pattern.tailShare))
        serviceTime *= tailFactor;
    const std::array counts { &m_report.all, &m_report.routes[index],
        &m_report.windows[(m_queue.now() - m_start) / windowLength],
        &m_report.seconds[(m_queue.now() - m_start) / 1s] };
    idleCaller(route).request(serviceTime, [this, counts, objective = pattern.latencyObjective](auto responseTime) {
        const bool isInObjective = responseTime && *responseTime <= objective;
        for (auto* it : counts) {
            auto& count = !responseTime ? it->notServed : isInObjective ? it->inObjective : it->late;
            ++count;
        }
        m_report.goodput[(m_queue.now() - m_start) / 1s] += isInObjective ? 1 : 0;
    });
}

// Callers of other routes than those with persistent flows are as many as needed.
ReplayCaller& LoadReplay::idleCaller(Route& route)
{
    const auto first = m_random.below(std::max<std::size_t>(route.callers.size(), 1));
    for (std::size_t n = 0; n < route.callers.size(); ++n) {
        auto& caller = *route.callers[(first + n) % route.callers.size()];
        if (!caller.isBusy())
            return caller;
    }
    addCaller(route);
    return *route.callers.back();
}

ReplayBalancer& LoadReplay::balancerOf(const core::FlowKey& flow)
{
    return *m_balancers[flow.hash() % m_balancers.size()];
}

void LoadReplay::giveState(ReplayBalancer& balancer)
{
    balancer.receiveState(m_configuration, m_reports, m_queue.now());
}

void LoadReplay::deliver(const FlowSegment& segment, const ForwardDecision& decision)
{
    auto& caller = *m_callers.at(segment.flow.caller.address);
    m_report.openFlowsReset += decision.action == ForwardAction::Reset && !segment.isOpening ? 1 : 0;
    const bool isRefused
        = decision.action == ForwardAction::Forward && !m_upstreams[decision.instance.value - 1]->isRunning();
    if (isRefused) {
        m_queue.after(upstreamDelay + callerDelay, [&caller, flow = segment.flow](auto) { caller.handleReset(flow); });
    } else if (decision.action == ForwardAction::Reset) {
        m_queue.after(callerDelay, [&caller, flow = segment.flow](auto) { caller.handleReset(flow); });
    } else if (decision.action == ForwardAction::Forward && segment.isOpening) {
        m_queue.after(upstreamDelay + callerDelay,
            [&caller, flow = segment.flow, token = decision.token](auto) { caller.handleOpened(flow, token); });
    } else if (decision.action == ForwardAction::Forward && segment.payloadBytes > 0) {
        m_queue.after(upstreamDelay, [this, &caller, segment, id = decision.instance](auto) {
            caller.handleReceived(segment.sequence);
            if (std::exchange(m_delivered[segment.flow], segment.sequence) == segment.sequence)
                return;
            m_upstreams[id.value - 1]->handleRequest(caller.serviceTime(), [=, this, &caller](bool isExecuted) {
                m_report.shed += isExecuted ? 0 : 1;
                m_queue.after(callerDelay, [=, &caller](auto) { caller.handleAnswer(segment.flow, isExecuted); });
            });
        });
    }
}

} // namespace support
