#include "ibisgw/direct/LinkAdmission.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace ibisgw::direct {

namespace {

constexpr core::Duration defaultLimit = std::chrono::milliseconds(100);
constexpr int objectiveDivisor = 4;

// Bytes that a flow brings within this time count as expected from its opening on. Later ones are seen in the queue
// when they arrive; counting them would leave the link idle.
constexpr core::Duration reservationTime = std::chrono::milliseconds(100);

// Weight of a flow in the mean of its route.
constexpr double flowWeight = 0.05;

// Headers of a forwarded packet: those of the protocol and the intended upstream.
constexpr std::size_t headerBytes = 40;

// The link counts as busy for this time after a packet had to wait.
constexpr core::Duration busyTime = std::chrono::milliseconds(100);

// Each lower priority is rejected at a wait that is shorter by this share of the limit, but at half of it at the
// latest.
constexpr double priorityStep = 0.25;
constexpr double minPriorityFactor = 0.5;

// Share of what is admitted that is left to each route, relative to its share of what is asked for. The other half goes
// by priority.
constexpr double guaranteedShare = 0.5;

constexpr core::Duration shareHalfLife = std::chrono::seconds(1);

// Bytes that a packet with this many bytes of data takes on the link.
double costOf(std::size_t payloadBytes)
{
    return static_cast<double>(EgressPacer::costOf(headerBytes + payloadBytes));
}

core::Duration limitOf(const Route& route)
{
    return route.latencyObjective > core::Duration::zero() ? route.latencyObjective / objectiveDivisor : defaultLimit;
}

} // namespace

LinkAdmission::LinkAdmission(std::uint64_t linkBytesPerSecond)
    : m_bytesPerSecond(EgressPacer::pacedRate(linkBytesPerSecond))
{
}

void LinkAdmission::setRoutes(const std::vector<Route>& routes)
{
    std::set<std::uint32_t> priorities;
    for (const auto& it : routes)
        priorities.insert(it.priority);
    std::unordered_map<core::Endpoint, RouteState> states;
    for (const auto& it : routes) {
        auto& state = states[it.address] = m_routes[it.address];
        const auto rank = std::distance(priorities.begin(), priorities.find(it.priority));
        state.priorityFactor = std::max(minPriorityFactor, 1 - priorityStep * static_cast<double>(rank));
        state.limit = limitOf(it);
        state.egressClass = dataClassOf(it.kind);
    }
    m_routes = std::move(states);
    m_askedRoutes.clear();
    for (auto& [address, it] : m_routes) {
        if (it.isAsked)
            m_askedRoutes.push_back(&it);
    }
}

void LinkAdmission::setQueued(const QueuedBytes& queued, core::TimePoint now)
{
    m_queued = queued;
    if (std::ranges::any_of(queued, [](auto it) { return it > 0; }))
        m_lastQueuedAt = now;
}

bool LinkAdmission::admits(const Route& route, core::TimePoint now)
{
    const auto found = m_routes.find(route.address);
    if (!isLimited() || found == m_routes.end())
        return true;
    expire(now);
    auto& state = found->second;
    decay(state, now);
    const double cost = costOf(0) + state.bytesPerFlow;
    if (!std::exchange(state.isAsked, true))
        m_askedRoutes.push_back(&state);
    state.offeredBytes += cost;
    if (now - m_lastQueuedAt <= busyTime && !isWithinLimit(state, now))
        return false;
    state.admittedBytes += cost;
    return true;
}

// Below the lowest limit, reduced by its priority, each route is admitted. Above it only those are that have got less
// than their guaranteed share, up to their own limit.
bool LinkAdmission::isWithinLimit(const RouteState& state, core::TimePoint now)
{
    for (auto* it : m_askedRoutes)
        decay(*it, now);
    const auto wait = expectedWait(state.egressClass);
    const auto lowest = std::min(lowestLimit(), state.limit);
    if (core::toSeconds(wait) <= state.priorityFactor * core::toSeconds(lowest))
        return true;
    if (wait > state.limit)
        return false;
    return isBelowGuaranteedShare(state);
}

core::Duration LinkAdmission::lowestLimit() const
{
    auto lowest = core::Duration::max();
    for (const auto* it : m_askedRoutes) {
        if (it->offeredBytes >= costOf(0))
            lowest = std::min(lowest, it->limit);
    }
    return lowest;
}

bool LinkAdmission::isBelowGuaranteedShare(const RouteState& state) const
{
    double offered = 0;
    double admitted = 0;
    for (const auto* it : m_askedRoutes) {
        offered += it->offeredBytes;
        admitted += it->admittedBytes;
    }
    return state.admittedBytes * offered < guaranteedShare * state.offeredBytes * admitted;
}

void LinkAdmission::decay(RouteState& state, core::TimePoint now)
{
    const double halfLives = core::toSeconds(now - state.countedAt) / core::toSeconds(shareHalfLife);
    const double factor = std::exp2(-halfLives);
    state.countedAt = now;
    state.offeredBytes *= factor;
    state.admittedBytes *= factor;
}

void LinkAdmission::noteOpened(const core::FlowKey& flow, const Route& route, core::TimePoint now)
{
    const auto found = m_routes.find(route.address);
    if (!isLimited() || found == m_routes.end())
        return;
    const auto& state = found->second;
    const auto [entry, isNew]
        = m_reservations.try_emplace(flow, Reservation { route.address, state.egressClass, state.bytesPerFlow, 0 });
    if (!isNew)
        return;
    m_reservedBytes[static_cast<std::size_t>(state.egressClass)] += state.bytesPerFlow;
    m_expiries.emplace_back(now + reservationTime, flow);
}

void LinkAdmission::noteForwarded(const core::FlowKey& flow, std::size_t payloadBytes)
{
    const auto found = m_reservations.find(flow);
    if (found == m_reservations.end())
        return;
    auto& reservation = found->second;
    const double bytes = costOf(payloadBytes);
    const double arrived = std::min(bytes, reservation.remainingBytes);
    reservation.sentBytes += bytes;
    reservation.remainingBytes -= arrived;
    m_reservedBytes[static_cast<std::size_t>(reservation.egressClass)] -= arrived;
}

void LinkAdmission::expire(core::TimePoint now)
{
    while (!m_expiries.empty() && m_expiries.front().first <= now) {
        const auto found = m_reservations.find(m_expiries.front().second);
        release(found->second);
        m_reservations.erase(found);
        m_expiries.pop_front();
    }
    if (m_reservations.empty())
        m_reservedBytes = {};
}

void LinkAdmission::release(const Reservation& reservation)
{
    m_reservedBytes[static_cast<std::size_t>(reservation.egressClass)] -= reservation.remainingBytes;
    const auto found = m_routes.find(reservation.route);
    if (found == m_routes.end())
        return;
    auto& mean = found->second.bytesPerFlow;
    mean = mean == 0 ? reservation.sentBytes : mean + flowWeight * (reservation.sentBytes - mean);
}

core::Duration LinkAdmission::expectedWait(EgressClass egressClass) const
{
    if (!isLimited())
        return core::Duration::zero();
    double bytes = 0;
    for (std::size_t n = 0; n <= static_cast<std::size_t>(egressClass); ++n)
        bytes += static_cast<double>(m_queued[n]) + m_reservedBytes[n];
    return std::chrono::duration_cast<core::Duration>(std::chrono::duration<double>(bytes / m_bytesPerSecond));
}

} // namespace ibisgw::direct
