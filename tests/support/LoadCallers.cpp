#include "support/LoadCallers.h"

#include <cmath>

namespace support {

using namespace ibisgw;
using packet::Packet;
using packet::PacketType;

namespace {

constexpr std::uint32_t firstAddress = 0x0b000001; // 11.0.0.1
constexpr std::uint16_t callerPort = 50000;
// Longest run in seconds; the counts are allocated for this length.
constexpr std::size_t maxSeconds = 600;

} // namespace

LoadCallers::LoadCallers(LoadCallersOptions options, BalancerGroup& group, core::RandomSource& random)
    : m_options(options)
    , m_group(group)
    , m_queue(group.queue())
    , m_random(random)
    , m_startedAt(m_queue.now())
    , m_nextAddress(firstAddress)
    , m_seconds(maxSeconds)
    , m_answers(maxSeconds)
{
    m_group.onCallerPacket([this](const Packet& packet) { handlePacket(packet); });
}

std::size_t LoadCallers::secondOf(core::TimePoint time) const
{
    return static_cast<std::size_t>(core::toSeconds(time - m_startedAt));
}

void LoadCallers::offer(double requestsPerSecond, core::Duration duration)
{
    const auto end = m_queue.now() + duration;
    auto next = m_queue.now();
    while (true) {
        const auto gap = -std::log(1.0 - m_random.unit()) / requestsPerSecond;
        next += core::Duration(static_cast<core::Duration::rep>(gap * 1e6));
        if (next >= end)
            return;
        m_queue.at(next, [this](auto) { start(); });
    }
}

void LoadCallers::start()
{
    const core::FlowKey key { { m_nextAddress++, callerPort }, m_options.service };
    Flow flow;
    flow.startedAt = m_queue.now();
    ++m_seconds[secondOf(flow.startedAt)].started;
    m_flows.emplace(key, flow);
    send(key, flow, PacketType::Open);
    scheduleRetransmission(key);
}

void LoadCallers::handlePacket(const Packet& packet)
{
    const auto it = m_flows.find(packet.flow);
    if (it == m_flows.end())
        return;
    auto& flow = it->second;
    if (packet.type == PacketType::Opened) {
        if (flow.isEstablished)
            return;
        flow.isEstablished = true;
        flow.token = packet.token;
        send(it->first, flow, PacketType::Request);
        return;
    }
    const bool endsRequest = packet.type == PacketType::Answer || packet.type == PacketType::Reset
        || (packet.type == PacketType::Refusal && (packet.request != 0 || !flow.isEstablished));
    if (!endsRequest)
        return;
    auto& second = m_seconds[secondOf(flow.startedAt)];
    const bool inTime = m_queue.now() - flow.startedAt <= std::chrono::milliseconds(m_options.deadlineMs);
    if (packet.type != PacketType::Answer) {
        ++second.refused;
    } else if (inTime) {
        ++second.answeredInTime;
        ++m_answers[secondOf(m_queue.now())];
    }
    if (flow.isEstablished)
        send(it->first, flow, PacketType::Close);
    m_flows.erase(it);
}

void LoadCallers::scheduleRetransmission(const core::FlowKey& key)
{
    m_queue.after(m_options.retransmitAfter, [this, key](core::TimePoint now) {
        const auto it = m_flows.find(key);
        if (it == m_flows.end())
            return;
        const auto& flow = it->second;
        if (now - flow.startedAt > std::chrono::milliseconds(m_options.deadlineMs)) {
            // The deadline has passed. The close keeps the upstream from executing a request that is still queued.
            send(key, flow, PacketType::Close);
            m_flows.erase(it);
            return;
        }
        send(key, flow, flow.isEstablished ? PacketType::Request : PacketType::Open);
        scheduleRetransmission(key);
    });
}

void LoadCallers::send(const core::FlowKey& key, const Flow& flow, PacketType type)
{
    Packet packet;
    packet.type = type;
    packet.flow = key;
    packet.kind = m_options.kind;
    packet.request = type == PacketType::Request ? 1 : 0;
    packet.token = flow.token;
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(m_queue.now() - flow.startedAt);
    const auto left = static_cast<std::int64_t>(m_options.deadlineMs) - elapsed.count();
    packet.deadlineMs = static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
    m_group.sendFromCaller(packet);
}

} // namespace support
