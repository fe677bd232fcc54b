#include "support/FakeCallers.h"

#include <cmath>

namespace support {

using namespace ibisgw;
using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

constexpr std::uint32_t firstAddress = 0x0b000001; // 11.0.0.1
constexpr std::uint16_t callerPort = 50000;
constexpr core::RequestId onlyRequest = 1;

} // namespace

FakeCallers::FakeCallers(FakeCallersOptions options, BalancerGroup& group)
    : m_options(options)
    , m_group(group)
    , m_queue(group.queue())
    , m_nextAddress(firstAddress)
{
    m_group.onCallerPacket([this](const Packet& packet) { handlePacket(packet); });
}

FakeCallers::CallerFlow& FakeCallers::startFlow(bool isStream)
{
    CallerFlow flow;
    flow.key = { { m_nextAddress++, callerPort }, m_options.service };
    flow.isStream = isStream;
    flow.echoesToken = m_options.echoesToken;
    flow.period = m_options.streamPeriod;
    flow.startedAt = flow.lastReceivedAt = m_queue.now();
    auto& inserted = m_flows.emplace(flow.key, flow).first->second;
    send(inserted, PacketType::Open);
    scheduleRetransmission(inserted.key);
    return inserted;
}

core::FlowKey FakeCallers::openStream()
{
    return openStream(m_options.streamPeriod, m_options.echoesToken);
}

core::FlowKey FakeCallers::openStream(core::Duration period, bool echoesToken)
{
    auto& flow = startFlow(true);
    flow.period = period;
    flow.echoesToken = echoesToken;
    return flow.key;
}

void FakeCallers::startRequest()
{
    startFlow(false);
}

void FakeCallers::startArrivals(double requestsPerSecond, core::TimePoint until, core::RandomSource& random)
{
    const auto gap = -std::log(1.0 - random.unit()) / requestsPerSecond;
    const auto next = m_queue.now() + core::Duration(static_cast<core::Duration::rep>(gap * 1e6));
    if (next > until)
        return;
    m_queue.at(next, [this, requestsPerSecond, until, &random](auto) {
        startRequest();
        startArrivals(requestsPerSecond, until, random);
    });
}

void FakeCallers::scheduleRetransmission(const core::FlowKey& key)
{
    m_queue.after(m_options.retransmitAfter, [this, key](core::TimePoint now) {
        auto& flow = m_flows.at(key);
        if (flow.phase == Phase::Ended || flow.phase == Phase::Established)
            return;
        const auto elapsed = now - flow.startedAt;
        if (!flow.isStream && elapsed > std::chrono::milliseconds(m_options.deadlineMs)) {
            // The request is sent only after the flow is open, so it cannot have run before that.
            endRequest(flow, flow.phase == Phase::Opening ? Outcome::NotRun : Outcome::Unknown);
            return;
        }
        send(flow, flow.phase == Phase::Opening ? PacketType::Open : PacketType::Request);
        scheduleRetransmission(key);
    });
}

void FakeCallers::scheduleStreamData(const core::FlowKey& key)
{
    // A packet that was not echoed is retransmitted early, so that one lost packet does not count as a broken flow.
    const auto& scheduled = m_flows.at(key);
    const auto next = scheduled.isAwaitingEcho ? m_queue.now() + m_options.retransmitAfter : scheduled.nextDataAt;
    m_queue.at(next, [this, key](core::TimePoint now) {
        auto& flow = m_flows.at(key);
        if (flow.phase != Phase::Established)
            return;
        if (!flow.isAwaitingEcho && now < flow.nextDataAt) {
            scheduleStreamData(key);
            return;
        }
        if (flow.isAwaitingEcho && now > flow.nextDataAt - flow.period + m_options.streamTimeout) {
            breakStream(flow);
            return;
        }
        if (!flow.isAwaitingEcho)
            flow.nextDataAt = now + flow.period;
        flow.isAwaitingEcho = true;
        send(flow, PacketType::Data);
        scheduleStreamData(key);
    });
}

void FakeCallers::closeStream(const core::FlowKey& key)
{
    auto& flow = m_flows.at(key);
    if (flow.phase == Phase::Established)
        send(flow, PacketType::Close);
    flow.phase = Phase::Ended;
}

void FakeCallers::handlePacket(const Packet& packet)
{
    const auto it = m_flows.find(packet.flow);
    if (it == m_flows.end()) {
        ++m_crossedAnswers;
        return;
    }
    auto& flow = it->second;
    if (flow.phase == Phase::Ended)
        return;
    flow.lastReceivedAt = m_queue.now();
    if (packet.type == PacketType::Opened) {
        if (flow.phase != Phase::Opening)
            return;
        flow.upstream = packet.upstream;
        flow.token = packet.token;
        flow.phase = flow.isStream ? Phase::Established : Phase::Requesting;
        flow.nextDataAt = m_queue.now() + flow.period;
        if (flow.isStream)
            scheduleStreamData(flow.key);
        else
            send(flow, PacketType::Request);
        return;
    }
    if (packet.type == PacketType::Data) {
        flow.isAwaitingEcho = false;
        if (flow.isStream && packet.upstream != flow.upstream)
            breakStream(flow);
    } else if (packet.type == PacketType::Answer) {
        if (packet.request != onlyRequest || flow.isStream || packet.upstream != flow.upstream)
            ++m_crossedAnswers;
        endRequest(flow, Outcome::Answered);
    } else if (packet.type == PacketType::Refusal && !flow.isStream) {
        endRequest(flow, packet.refusal == RefusalKind::NotRun ? Outcome::NotRun : Outcome::Unknown);
    } else if (packet.type == PacketType::Reset && flow.isStream) {
        breakStream(flow);
    } else if (packet.type == PacketType::Reset) {
        endRequest(flow, Outcome::Unknown);
    }
}

void FakeCallers::endRequest(CallerFlow& flow, Outcome outcome)
{
    flow.outcome = outcome;
    if (flow.upstream.isValid())
        send(flow, PacketType::Close);
    flow.phase = Phase::Ended;
}

void FakeCallers::breakStream(CallerFlow& flow)
{
    flow.isBroken = true;
    flow.phase = Phase::Ended;
}

void FakeCallers::send(CallerFlow& flow, PacketType type)
{
    Packet packet;
    packet.type = type;
    packet.flow = flow.key;
    packet.kind = flow.isStream ? m_options.streamKind : m_options.requestKind;
    packet.request = type == PacketType::Request ? onlyRequest : 0;
    if (!flow.isStream) {
        const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now() - flow.startedAt);
        const auto left = static_cast<std::int64_t>(m_options.deadlineMs) - elapsed.count();
        packet.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
    }
    if (flow.echoesToken)
        packet.token = flow.token;
    m_group.sendFromCaller(packet);
}

CallerTotals FakeCallers::totals() const
{
    CallerTotals totals;
    totals.crossedAnswers = m_crossedAnswers;
    for (const auto& [key, flow] : m_flows) {
        if (flow.isStream) {
            const bool isBroken = flow.isBroken || flow.phase == Phase::Opening;
            totals.brokenStreams += isBroken;
            totals.brokenStreamsWithoutToken += isBroken && !flow.echoesToken;
            continue;
        }
        ++totals.requests;
        totals.answered += flow.outcome == Outcome::Answered;
        totals.notRun += flow.outcome == Outcome::NotRun;
        totals.outcomeUnknown += flow.outcome == Outcome::Unknown || flow.outcome == Outcome::Pending;
        if (flow.outcome == Outcome::NotRun && m_group.executions().executionsOf({ key, onlyRequest }) > 0)
            ++totals.falseNotRun;
    }
    return totals;
}

std::size_t FakeCallers::establishedStreams() const
{
    std::size_t n = 0;
    for (const auto& [key, flow] : m_flows)
        n += flow.isStream && flow.phase == Phase::Established;
    return n;
}

std::uint64_t FakeCallers::brokenStreamsElsewhere(core::UpstreamId upstream) const
{
    std::uint64_t n = 0;
    for (const auto& [key, flow] : m_flows)
        n += flow.isStream && flow.isBroken && flow.upstream != upstream;
    return n;
}

std::vector<core::FlowKey> FakeCallers::establishedStreamsOn(core::UpstreamId upstream) const
{
    std::vector<core::FlowKey> keys;
    for (const auto& [key, flow] : m_flows) {
        if (flow.isStream && flow.phase == Phase::Established && flow.upstream == upstream)
            keys.push_back(key);
    }
    return keys;
}

std::unordered_map<core::UpstreamId, std::uint64_t> FakeCallers::streamsByUpstream() const
{
    std::unordered_map<core::UpstreamId, std::uint64_t> counts;
    for (const auto& [key, flow] : m_flows) {
        if (flow.isStream && flow.phase == Phase::Established)
            ++counts[flow.upstream];
    }
    return counts;
}

} // namespace support
