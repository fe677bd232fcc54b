#include "support/FaultCallers.h"

#include <algorithm>

namespace support {

using namespace ibisgw;
using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

constexpr std::uint32_t firstAddress = 0x0b000001; // 11.0.0.1
constexpr std::uint16_t callerPort = 50000;

} // namespace

FaultCallers::FaultCallers(FaultCallersOptions options, BalancerGroup& group, core::RandomSource& random)
    : m_options(std::move(options))
    , m_group(group)
    , m_queue(group.queue())
    , m_random(random)
    , m_nextAddress(firstAddress)
{
    m_group.onCallerPacket([this](const Packet& packet) { handlePacket(packet); });
}

void FaultCallers::startFlow()
{
    startFlow(m_options.services[m_random.below(m_options.services.size())], true);
}

void FaultCallers::startFlow(const core::Endpoint& service, bool mayRetry)
{
    Flow flow;
    flow.key = { { m_nextAddress++, callerPort }, service };
    flow.echoesToken = m_random.chance(m_options.tokenShare);
    flow.sendsForeignToken = m_random.chance(m_options.foreignTokenShare);
    flow.mayRetry = mayRetry;
    flow.startedAt = m_queue.now();
    const auto requests = 1 + m_random.below(m_options.maxRequestsPerFlow);
    for (core::RequestId n = 1; n <= requests; ++n)
        flow.requests[n] = Outcome::NotSent;
    const auto& inserted = m_flows.emplace(flow.key, std::move(flow)).first->second;
    send(inserted, PacketType::Open);
    scheduleRetransmission(inserted.key);
}

void FaultCallers::handlePacket(const Packet& packet)
{
    const auto it = m_flows.find(packet.flow);
    if (it == m_flows.end()) {
        ++m_crossedAnswers;
        return;
    }
    auto& flow = it->second;
    if (packet.type == PacketType::Opened)
        handleOpened(flow, packet);
    else if (packet.type == PacketType::Answer)
        handleAnswer(flow, packet);
    else if (packet.type == PacketType::Refusal)
        handleRefusal(flow, packet);
    else if (packet.type == PacketType::Reset && flow.phase == Phase::Established)
        end(flow, Outcome::Unknown);
}

void FaultCallers::handleOpened(Flow& flow, const Packet& packet)
{
    // The flow ended before its `opened` arrived. Closes it, because the upstream still holds it open.
    if (flow.phase == Phase::Ended)
        send(flow, PacketType::Close);
    if (flow.phase != Phase::Opening)
        return;
    flow.phase = Phase::Established;
    flow.upstream = packet.upstream;
    flow.token = flow.sendsForeignToken ? m_lastToken : packet.token;
    m_lastToken = packet.token;
    for (auto& [request, outcome] : flow.requests) {
        outcome = Outcome::Pending;
        send(flow, PacketType::Request, request);
        if (m_random.chance(m_options.cancelShare))
            scheduleCancellation(flow.key, request);
    }
}

void FaultCallers::handleAnswer(Flow& flow, const Packet& packet)
{
    const auto it = flow.requests.find(packet.request);
    const bool wasSent = it != flow.requests.end() && it->second != Outcome::NotSent;
    // Late and duplicate answers from the flow's own upstream are legal and are ignored below.
    if (!wasSent || packet.upstream != flow.upstream) {
        ++m_crossedAnswers;
        return;
    }
    if (flow.phase != Phase::Established || it->second != Outcome::Pending)
        return;
    it->second = Outcome::Answered;
    endIfComplete(flow);
}

void FaultCallers::handleRefusal(Flow& flow, const Packet& packet)
{
    const auto outcome = packet.refusal == RefusalKind::NotRun ? Outcome::NotRun : Outcome::Unknown;
    if (packet.request == 0) {
        if (flow.phase != Phase::Opening)
            return;
        const bool retries = flow.mayRetry;
        const auto service = flow.key.service;
        end(flow, outcome);
        if (retries) {
            ++m_retriedFlows;
            // Inserts into m_flows, so `flow` must not be used after this call.
            startFlow(service, false);
        }
        return;
    }
    const auto it = flow.requests.find(packet.request);
    if (flow.phase != Phase::Established || it == flow.requests.end() || it->second != Outcome::Pending)
        return;
    it->second = outcome;
    endIfComplete(flow);
}

void FaultCallers::endIfComplete(Flow& flow)
{
    if (std::ranges::none_of(flow.requests, [](const auto& it) { return it.second == Outcome::Pending; }))
        end(flow, Outcome::Unknown);
}

void FaultCallers::end(Flow& flow, Outcome outcome)
{
    const bool wasOpened = flow.phase == Phase::Established;
    flow.phase = Phase::Ended;
    for (auto& [request, it] : flow.requests) {
        if (it == Outcome::Pending || it == Outcome::NotSent)
            it = outcome;
    }
    if (wasOpened)
        send(flow, PacketType::Close);
}

void FaultCallers::scheduleRetransmission(const core::FlowKey& key)
{
    m_queue.after(m_options.retransmitAfter, [this, key](core::TimePoint now) {
        auto& flow = m_flows.at(key);
        if (flow.phase == Phase::Ended)
            return;
        if (now - flow.startedAt > std::chrono::milliseconds(m_options.deadlineMs)) {
            // Requests are sent only after the flow is open, so they cannot have run before that.
            end(flow, flow.phase == Phase::Opening ? Outcome::NotRun : Outcome::Unknown);
            return;
        }
        if (flow.phase == Phase::Opening)
            send(flow, PacketType::Open);
        for (const auto& [request, outcome] : flow.requests) {
            if (outcome == Outcome::Pending)
                send(flow, PacketType::Request, request);
        }
        scheduleRetransmission(key);
    });
}

void FaultCallers::scheduleCancellation(const core::FlowKey& key, core::RequestId request)
{
    const auto delay = std::chrono::milliseconds(m_random.below(300));
    m_queue.after(delay, [this, key, request](auto) {
        auto& flow = m_flows.at(key);
        if (flow.phase != Phase::Established || flow.requests.at(request) != Outcome::Pending)
            return;
        flow.requests.at(request) = Outcome::Unknown;
        send(flow, PacketType::Cancel, request);
        endIfComplete(flow);
    });
}

void FaultCallers::send(const Flow& flow, PacketType type, core::RequestId request)
{
    Packet packet;
    packet.type = type;
    packet.flow = flow.key;
    packet.kind = m_options.kind;
    packet.request = request;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now() - flow.startedAt);
    const auto left = static_cast<std::int64_t>(m_options.deadlineMs) - elapsed.count();
    packet.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
    if (flow.echoesToken || flow.sendsForeignToken)
        packet.token = flow.token;
    m_group.sendFromCaller(packet);
}

FaultCallerTotals FaultCallers::totals() const
{
    FaultCallerTotals totals;
    totals.crossedAnswers = m_crossedAnswers;
    totals.retriedFlows = m_retriedFlows;
    for (const auto& [key, flow] : m_flows) {
        for (const auto& [request, outcome] : flow.requests) {
            ++totals.requests;
            totals.answered += outcome == Outcome::Answered;
            totals.notRun += outcome == Outcome::NotRun;
            totals.outcomeUnknown += outcome == Outcome::Unknown || outcome == Outcome::Pending;
            if (outcome == Outcome::NotRun && m_group.executions().executionsOf({ key, request }) > 0)
                ++totals.falseNotRun;
        }
    }
    return totals;
}

} // namespace support
