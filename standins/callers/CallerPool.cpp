#include "callers/CallerPool.h"

#include <nlohmann/json.hpp>

namespace standins {

using namespace ibisgw;
using packet::PacketType;
using packet::RefusalKind;

namespace {

constexpr std::chrono::milliseconds tickPeriod { 10 };
constexpr core::Duration retransmitTimeout = std::chrono::milliseconds(300);
constexpr core::Duration streamPingPeriod = std::chrono::milliseconds(500);
// A stream that has received no packet for this long counts as broken.
constexpr core::Duration streamTimeout = std::chrono::seconds(4);
// Address of the first flow; each further flow takes the next address.
constexpr std::uint32_t firstAddress = 0x7f010001; // 127.1.0.1
constexpr core::RequestId singleRequestId = 1;

} // namespace

CallerPool::CallerPool(CallerPoolOptions options, adapters::UdpSocket socket)
    : m_options(options)
    , m_socket(socket)
    , m_startedAt(m_loop.now())
    , m_nextAddress(firstAddress)
{
}

void CallerPool::run()
{
    m_socket.receive(m_loop, [this](auto datagram, auto) { receive(datagram); });
    m_loop.addPeriodic(tickPeriod, [this] { tick(); });
    for (unsigned n = 0; n < m_options.streams; ++n)
        startFlow(true);
    m_loop.run();
}

void CallerPool::tick()
{
    const auto now = m_loop.now();
    const auto elapsed = now - m_startedAt;
    if (elapsed < m_options.duration) {
        const auto due = static_cast<std::uint64_t>(core::toSeconds(elapsed) * m_options.requestsPerSecond);
        for (; m_requestsStarted < due; ++m_requestsStarted)
            startFlow(false);
    }
    for (const auto& it : m_active)
        sendDuePackets(m_flows.at(it), now);
    std::erase_if(m_active, [&](const auto& it) { return m_flows.at(it).phase == Phase::Ended; });
    const auto answerTimeout = std::chrono::milliseconds(m_options.deadlineMs) + retransmitTimeout;
    if (elapsed < m_options.duration + answerTimeout)
        return;
    for (const auto& it : m_active)
        send(m_flows.at(it), PacketType::Close);
    m_loop.stop();
}

void CallerPool::startFlow(bool isStream)
{
    CallerFlow flow;
    flow.key = { { m_nextAddress++, m_socket.localEndpoint().port }, m_options.service };
    flow.isStream = isStream;
    flow.startedAt = flow.lastReceivedAt = m_loop.now();
    auto& inserted = m_flows.emplace(flow.key, flow).first->second;
    m_active.push_back(flow.key);
    send(inserted, PacketType::Open);
}

void CallerPool::sendDuePackets(CallerFlow& flow, core::TimePoint now)
{
    if (flow.isStream) {
        sendDueStreamPackets(flow, now);
        return;
    }
    if (now - flow.startedAt > std::chrono::milliseconds(m_options.deadlineMs)) {
        // Before the flow is open the request has not been sent, so it cannot have run.
        endRequest(flow, flow.phase == Phase::Opening ? Outcome::NotRun : Outcome::Unknown);
        return;
    }
    if (now - flow.lastSentAt >= retransmitTimeout)
        send(flow, flow.phase == Phase::Opening ? PacketType::Open : PacketType::Request);
}

void CallerPool::sendDueStreamPackets(CallerFlow& flow, core::TimePoint now)
{
    if (now - flow.lastReceivedAt > streamTimeout) {
        breakFlow(flow, flow.phase == Phase::Opening ? "never opened" : "no answer");
        flow.phase = Phase::Ended;
        return;
    }
    if (flow.phase == Phase::Opening && now - flow.lastSentAt >= retransmitTimeout)
        send(flow, PacketType::Open);
    else if (flow.phase == Phase::Established && now - flow.lastSentAt >= streamPingPeriod)
        send(flow, PacketType::Data);
}

void CallerPool::receive(std::span<const std::byte> datagram)
{
    const auto packet = adapters::decodePacket(datagram);
    if (!packet)
        return;
    const auto it = m_flows.find(packet->flow);
    if (it == m_flows.end()) {
        ++m_unexpectedReplies;
        return;
    }
    if (it->second.phase != Phase::Ended)
        handleReply(it->second, *packet);
}

void CallerPool::handleReply(CallerFlow& flow, const packet::Packet& packet)
{
    const std::string sender(reinterpret_cast<const char*>(packet.payload.data()), packet.payload.size());
    flow.lastReceivedAt = m_loop.now();
    if (packet.type == PacketType::Opened && flow.phase == Phase::Opening) {
        flow.upstream = sender;
        flow.token = packet.token;
        flow.phase = flow.isStream ? Phase::Established : Phase::Requesting;
        send(flow, flow.isStream ? PacketType::Data : PacketType::Request);
    } else if (packet.type == PacketType::Data && sender != flow.upstream) {
        breakFlow(flow, "answered by another upstream");
    } else if (packet.type == PacketType::Answer && packet.request == singleRequestId) {
        endRequest(flow, Outcome::Answered);
    } else if (packet.type == PacketType::Refusal && !flow.isStream && appliesToCurrentPhase(flow, packet)) {
        endRequest(flow, packet.refusal == RefusalKind::NotRun ? Outcome::NotRun : Outcome::Unknown);
    } else if (packet.type == PacketType::Reset) {
        breakFlow(flow, "reset");
        endRequest(flow, Outcome::Unknown);
    }
}

void CallerPool::breakFlow(CallerFlow& flow, const char* reason)
{
    flow.isBroken = true;
    flow.breakReason = reason;
}

void CallerPool::endRequest(CallerFlow& flow, Outcome outcome)
{
    flow.outcome = outcome;
    flow.phase = Phase::Ended;
    if (!flow.upstream.empty())
        send(flow, PacketType::Close);
}

void CallerPool::send(CallerFlow& flow, PacketType type)
{
    packet::Packet packet;
    packet.type = type;
    packet.flow = flow.key;
    packet.kind = flow.isStream ? m_options.streamKind : m_options.requestKind;
    packet.request = type == PacketType::Request ? singleRequestId : 0;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_loop.now() - flow.startedAt);
    if (!flow.isStream && elapsed.count() < m_options.deadlineMs)
        packet.deadlineMs = m_options.deadlineMs - static_cast<std::uint32_t>(elapsed.count());
    if (m_options.echoToken)
        packet.token = flow.token;
    flow.lastSentAt = m_loop.now();
    if (adapters::encodePacket(packet, m_buffer))
        m_socket.send(m_buffer, m_options.fabric);
}

// Whether the refusal applies to the packet that the flow waits on. Request 0 refuses the open; a late copy of such a
// refusal must not end the request that was sent since.
bool CallerPool::appliesToCurrentPhase(const CallerFlow& flow, const packet::Packet& refusal)
{
    return refusal.request == (flow.phase == Phase::Opening ? 0 : singleRequestId);
}

nlohmann::json CallerPool::report() const
{
    std::uint64_t answered = 0, notRun = 0, unknown = 0, broken = 0, requests = 0, streams = 0;
    std::map<std::string, std::uint64_t> flowsByUpstream;
    std::map<std::string, std::uint64_t> breakReasons;
    auto notRunCallers = nlohmann::json::array();
    for (const auto& [key, flow] : m_flows) {
        if (!flow.upstream.empty())
            ++flowsByUpstream[flow.upstream];
        if (flow.isStream) {
            ++streams;
            broken += flow.isBroken || flow.phase != Phase::Established;
            if (flow.isBroken)
                ++breakReasons[flow.breakReason];
            continue;
        }
        ++requests;
        answered += flow.outcome == Outcome::Answered;
        unknown += flow.outcome == Outcome::Unknown || flow.outcome == Outcome::Pending;
        if (flow.outcome == Outcome::NotRun) {
            ++notRun;
            notRunCallers.push_back(key.caller.toString());
        }
    }
    return { { "requests", requests }, { "answered", answered }, { "not_run", notRun }, { "outcome_unknown", unknown },
        { "streams", streams }, { "broken_streams", broken }, { "unexpected_replies", m_unexpectedReplies },
        { "break_reasons", breakReasons }, { "flows_by_upstream", flowsByUpstream },
        { "not_run_callers", notRunCallers } };
}

} // namespace standins
