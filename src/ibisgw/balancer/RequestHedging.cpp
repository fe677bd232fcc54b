#include "ibisgw/balancer/RequestHedging.h"

#include "ibisgw/balancer/Refusal.h"

#include <algorithm>
#include <utility>

namespace ibisgw::balancer {

using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;
using request::HedgeVerdict;

namespace {

// Hop counts of reports to the home of a flow. They lie between those of relays and those of queries to previous homes.
// A report is a request that was forwarded, a refusal, or a `cancel` that says that the request was answered or that
// the caller has cancelled it. A balancer that doesn't know reports handles the packet like a late copy, without harm.
constexpr std::uint8_t reportHops = 8;
constexpr std::uint8_t cancelReportHops = 9;

// Limits of the stored copies. 16,384 requests are the requests of 10 s at 1,600 a second.
constexpr std::size_t maxRequests = 16'384;
constexpr std::size_t maxStoredBytes = std::size_t { 4 } * 1024 * 1024;
// Requests with a longer deadline have no extra attempt. A restarted balancer makes none before this time has passed
// (HedgeBudget::window), so that it never repeats one of the process before it.
constexpr std::uint32_t maxDeadlineMs = 10'000;
static_assert(std::chrono::milliseconds(maxDeadlineMs) <= request::HedgeBudget::window);
// After a change of homes, the earlier home may start extra attempts until it knows the change.
constexpr core::Duration maxChangeDelay = std::chrono::seconds(5);
constexpr core::Duration homeChangeWait = request::HedgeBudget::window + maxChangeDelay;
constexpr core::Duration checkPeriod = std::chrono::milliseconds(5);
constexpr core::Duration maintenancePeriod = std::chrono::milliseconds(200);

} // namespace

RequestHedging::RequestHedging(const HedgingContext& context, core::RequestId firstRequest)
    : m_context(context)
    , m_nextCopy(firstRequest)
{
}

bool RequestHedging::covers(const configuration::Service& service, const Packet& packet)
{
    if (service.hedging.maxShare <= 0 || packet.request == 0)
        return false;
    const auto* kind = service.findKind(packet.kind);
    return kind && kind->idempotent;
}

bool RequestHedging::isReport(const Packet& packet)
{
    return packet.relayHops == reportHops || packet.relayHops == cancelReportHops;
}

RequestHedging::TrackedRequest* RequestHedging::find(const Key& key)
{
    const auto it = m_requests.find(key);
    return it == m_requests.end() ? nullptr : &it->second;
}

core::FlowKey RequestHedging::ownFlow(const core::Endpoint& service) const
{
    return { m_context.homes.self().endpoint(), service };
}

void RequestHedging::sendToUpstream(const Packet& packet, BalancerOutput& output)
{
    ++m_context.counters.packetsToUpstreams;
    output.sendToUpstream(packet.upstream, packet);
}

void RequestHedging::homesChanged()
{
    for (auto& [key, it] : m_requests) {
        if (it.state == State::Waiting && !m_context.homes.isHome(key.flow))
            discard(it);
    }
}

bool RequestHedging::mayTrack(const Packet& packet, core::TimePoint now) const
{
    const bool hasRoom = m_requests.size() < maxRequests && m_storedBytes + packet.payload.size() <= maxStoredBytes;
    const bool isDeadlineShort = packet.deadlineMs > 0 && packet.deadlineMs <= maxDeadlineMs;
    if (!hasRoom || !isDeadlineShort || m_isPartitioned)
        return false;
    // Another balancer may have been the home and have started an extra attempt of the same request.
    const auto& members = m_context.homes.ring().members();
    const bool hasSeveralZones
        = std::ranges::any_of(members, [&](const auto& it) { return it.zone != members.front().zone; });
    if (hasSeveralZones && now - m_upstreamsChangedAt < homeChangeWait)
        return false;
    return std::ranges::none_of(m_context.homes.previousHomesOf(packet.flow, now),
        [&](const auto& it) { return now - it.until < homeChangeWait; });
}

void RequestHedging::track(
    const Packet& packet, core::UpstreamId first, const configuration::Service& service, core::TimePoint now)
{
    const Key key { packet.flow, packet.request };
    if (m_requests.contains(key) || !mayTrack(packet, now))
        return;
    if (!isCallersUpstream(packet, first, now))
        return;
    auto& it = m_requests[key];
    it.service = service.name;
    it.request = packet;
    it.payload.assign(packet.payload.begin(), packet.payload.end());
    it.request.payload = {};
    it.first = first;
    it.sentAt = now;
    it.deadline = { packet.deadlineMs, now };
    m_storedBytes += it.payload.size();
    auto& hedging = m_services[service.name];
    hedging.policy.setMaxShare(service.hedging.maxShare);
    hedging.policy.recordRequest(now);
    hedging.due.emplace_back(now, key);
}

bool RequestHedging::isCallersUpstream(const Packet& packet, core::UpstreamId upstream, core::TimePoint now) const
{
    // The balancer that forwarded the request may have taken another upstream for that of the flow, and so may this
    // one. The answer of the extra attempt would then carry its name and its token.
    if (m_context.placer.upstreamOf(packet.flow, now) != upstream)
        return false;
    const bool hasToken = packet.token.upstream == upstream && m_context.tokens.verify(packet.flow, packet.token);
    return hasToken || m_context.admission.establishedUpstreamOf(packet.flow) == upstream;
}

void RequestHedging::report(const Packet& packet, std::uint8_t hops, core::TimePoint now, BalancerOutput& output)
{
    const auto home = m_context.homes.homeOf(packet.flow);
    if (!home.isValid() || home == m_context.homes.self())
        return;
    auto relayed = packet;
    relayed.relayHops = hops;
    m_context.relay.send(relayed, home, now, output);
}

void RequestHedging::noteForwarded(const Packet& packet, core::UpstreamId first, const configuration::Service& service,
    core::TimePoint now, BalancerOutput& output)
{
    if (packet.type != PacketType::Request || !covers(service, packet))
        return;
    if (m_context.homes.isHome(packet.flow)) {
        track(packet, first, service, now);
        return;
    }
    auto copy = packet;
    copy.upstream = first;
    report(copy, reportHops, now, output);
}

bool RequestHedging::handleReply(
    Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    const bool isReply = packet.type == PacketType::Answer || packet.type == PacketType::Refusal;
    // While hedging is being switched off, attempts are still in progress.
    const bool isTracked = m_requests.contains({ packet.flow, packet.request });
    if (!isReply || (!isTracked && !covers(service, packet)))
        return false;
    if (m_context.homes.isHome(packet.flow))
        return handleReplyAtHome(packet, now, output);
    if (packet.type == PacketType::Answer) {
        auto notice = packet;
        notice.type = PacketType::Cancel;
        notice.payload = {};
        report(notice, reportHops, now, output);
        return false;
    }
    // Only the home knows whether a copy of the request may have run. If the balancers disagree about the home, the
    // refusal goes to the caller without a promise.
    if (!isReport(packet)) {
        report(packet, reportHops, now, output);
        return true;
    }
    packet.refusal = RefusalKind::OutcomeUnknown;
    return false;
}

bool RequestHedging::handleReplyAtHome(Packet& packet, core::TimePoint now, BalancerOutput& output)
{
    auto* it = find({ packet.flow, packet.request });
    if (it && std::exchange(it->dropsNextReply, false)) {
        ++m_context.counters.droppedCrossedAnswers;
        return true;
    }
    if (packet.type == PacketType::Answer) {
        if (it)
            handleFirstAnswer(*it, now, output);
        return false;
    }
    if (it && it->state == State::Attempted) {
        it->isFirstRefused = true;
        return true;
    }
    if (it && it->state == State::Waiting)
        discard(*it);
    else
        packet.refusal = RefusalKind::OutcomeUnknown;
    return false;
}

void RequestHedging::handleFirstAnswer(TrackedRequest& it, core::TimePoint now, BalancerOutput& output)
{
    if (it.state == State::Ended)
        return;
    m_services[it.service].policy.recordLatency(now - it.sentAt, now);
    end(it, output);
}

void RequestHedging::handleCancel(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    if (!covers(service, packet))
        return;
    if (!m_context.homes.isHome(packet.flow))
        report(packet, cancelReportHops, now, output);
    else if (auto* it = find({ packet.flow, packet.request }))
        end(*it, output);
}

void RequestHedging::endFlow(const core::FlowKey& flow, BalancerOutput& output)
{
    for (auto it = m_requests.lower_bound({ flow, 0 }); it != m_requests.end() && it->first.flow == flow; ++it)
        end(it->second, output);
}

bool RequestHedging::handleReport(
    const Packet& packet, const configuration::Service& service, core::TimePoint now, BalancerOutput& output)
{
    if (!isReport(packet) || packet.type == PacketType::Refusal)
        return false;
    if (!covers(service, packet) || !m_context.homes.isHome(packet.flow))
        return true;
    if (packet.type == PacketType::Request)
        track(packet, packet.upstream, service, now);
    auto* it = packet.type == PacketType::Cancel ? find({ packet.flow, packet.request }) : nullptr;
    if (it && packet.relayHops == cancelReportHops)
        end(*it, output);
    else if (it)
        handleFirstAnswer(*it, now, output);
    return true;
}

void RequestHedging::startDueAttempts(
    const configuration::Document& document, core::TimePoint now, BalancerOutput& output)
{
    for (const auto& service : document.services) {
        const auto found = m_services.find(service.name);
        if (found == m_services.end() || now < found->second.nextCheckAt)
            continue;
        auto& hedging = found->second;
        hedging.nextCheckAt = now + checkPeriod;
        hedging.policy.setMaxShare(service.hedging.maxShare);
        const auto delay = hedging.policy.delay(now);
        // Without a delay, requests leave the queue when they can't be late any more.
        const auto wait = delay.value_or(std::chrono::milliseconds(maxDeadlineMs));
        while (!hedging.due.empty() && now - hedging.due.front().first >= wait) {
            const auto key = hedging.due.front().second;
            hedging.due.pop_front();
            if (delay)
                tryAttempt(key, service, hedging, now, output);
        }
    }
}

void RequestHedging::tryAttempt(const Key& key, const configuration::Service& service, ServiceHedging& hedging,
    core::TimePoint now, BalancerOutput& output)
{
    auto* it = find(key);
    if (!it || it->state != State::Waiting || it->deadline.isExpired(now) || !m_context.homes.isHome(key.flow))
        return;
    auto& load = m_context.admission.loadOf(service.name);
    const auto* kind = service.findKind(it->request.kind);
    const auto second = m_context.placer.selectSecond(key.flow, service, it->first, now);
    if (!kind || !second.isValid())
        return;
    const auto verdict = hedging.policy.decide(
        { kind->idempotent, false, load.isNearLimit(), it->sentAt, it->deadline.remaining(now) }, load.retries(), now);
    if (verdict == HedgeVerdict::RefusedByLimit && !std::exchange(it->isRefusedByLimit, true))
        ++m_context.counters.hedgesRefusedByLimit;
    if (verdict == HedgeVerdict::Attempt)
        startAttempt(key, *it, service, second, now, output);
    else
        hedging.due.emplace_back(now, key);
}

void RequestHedging::end(TrackedRequest& it, BalancerOutput& output)
{
    if (it.state == State::Attempted && m_attempts.contains(it.copyId))
        cancelAttempt(it, output);
    discard(it);
}

void RequestHedging::discard(TrackedRequest& it)
{
    it.state = State::Ended;
    m_storedBytes -= it.payload.size();
    it.payload = {};
}

void RequestHedging::removeExpired(core::TimePoint now, BalancerOutput& output)
{
    for (auto it = m_requests.begin(); it != m_requests.end();) {
        auto& request = it->second;
        if (!request.deadline.isExpired(now)) {
            ++it;
            continue;
        }
        if (request.state != State::Ended)
            m_services[request.service].policy.recordLatency(now - request.sentAt, now);
        end(request, output);
        it = m_requests.erase(it);
    }
}

void RequestHedging::tick(core::TimePoint now, BalancerOutput& output)
{
    if (now < m_nextMaintenanceAt)
        return;
    m_nextMaintenanceAt = now + maintenancePeriod;
    failAttemptsAtGoneUpstreams(output);
    removeExpired(now, output);
}

} // namespace ibisgw::balancer
