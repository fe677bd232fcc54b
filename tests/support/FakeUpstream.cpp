#include "support/FakeUpstream.h"

#include <cmath>

namespace support {

using namespace ibisgw;
using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;
using upstream::UpstreamState;

FakeUpstream::FakeUpstream(
    FakeUpstreamOptions options, MessageQueue& queue, core::RandomSource& random, ExecutionLog& log, Reply reply)
    : m_options(std::move(options))
    , m_queue(queue)
    , m_random(random)
    , m_log(log)
    , m_reply(std::move(reply))
{
}

void FakeUpstream::handlePacket(const Packet& packet)
{
    if (!m_running)
        return;
    if (packet.flow.service != m_options.serviceAddress) {
        m_log.recordMisroutedPacket();
        return;
    }
    if (packet.type == PacketType::Open) {
        handleOpen(packet);
        return;
    }
    if (!m_flows.contains(packet.flow)) {
        if (packet.type != PacketType::Close)
            reply(PacketType::Reset, packet);
        return;
    }
    if (packet.type == PacketType::Request)
        handleRequest(packet);
    else if (packet.type == PacketType::Data)
        reply(PacketType::Data, packet);
    else if (packet.type == PacketType::Close)
        m_flows.erase(packet.flow);
    else if (packet.type == PacketType::Cancel)
        handleCancel(packet);
}

void FakeUpstream::handleOpen(const Packet& packet)
{
    if (!m_flows.contains(packet.flow)) {
        if (m_state == UpstreamState::Shedding || m_random.chance(m_options.openRefusalShare)) {
            ++m_openRefusals;
            reply(PacketType::Refusal, packet, RefusalKind::NotRun);
            return;
        }
        m_flows[packet.flow];
        ++m_opensReceived;
        m_lastOpenAt = m_queue.now();
    }
    reply(PacketType::Opened, packet);
}

void FakeUpstream::handleCancel(const Packet& packet)
{
    // Prevents the execution if the request is still queued or arrives after the cancellation. An execution that has
    // begun is not interrupted.
    auto& requests = m_flows[packet.flow];
    const auto [it, isNew] = requests.try_emplace(packet.request, RequestState::Refused);
    if (!isNew && it->second != RequestState::Waiting)
        return;
    it->second = RequestState::Refused;
    std::erase_if(m_waiting, [&](const auto& pending) {
        return pending.packet.flow == packet.flow && pending.packet.request == packet.request;
    });
    ++m_cancellations;
    reply(PacketType::Refusal, packet, RefusalKind::NotRun);
}

void FakeUpstream::setShedding(bool shedding)
{
    m_state = shedding ? UpstreamState::Shedding : UpstreamState::Ready;
}

void FakeUpstream::handleRequest(const Packet& packet)
{
    auto& requests = m_flows[packet.flow];
    if (const auto it = requests.find(packet.request); it != requests.end()) {
        if (it->second == RequestState::Answered)
            reply(PacketType::Answer, packet);
        else if (it->second == RequestState::Refused)
            reply(PacketType::Refusal, packet, RefusalKind::NotRun);
        return;
    }
    if (m_waiting.size() >= m_options.queueLimit) {
        ++m_refusals;
        requests[packet.request] = RequestState::Refused;
        reply(PacketType::Refusal, packet, RefusalKind::NotRun);
        return;
    }
    requests[packet.request] = RequestState::Waiting;
    QueuedRequest pending { packet, std::nullopt };
    if (packet.deadlineMs > 0)
        pending.deadline = m_queue.now() + std::chrono::milliseconds(packet.deadlineMs);
    m_waiting.push_back(pending);
    startQueuedRequests();
}

void FakeUpstream::startQueuedRequests()
{
    while (!m_waiting.empty() && m_busySlots < m_options.slots) {
        const auto pending = m_waiting.front();
        m_waiting.pop_front();
        const auto flow = m_flows.find(pending.packet.flow);
        if (flow == m_flows.end())
            continue;
        auto& state = flow->second[pending.packet.request];
        if (pending.deadline && m_queue.now() > *pending.deadline) {
            ++m_refusals;
            state = RequestState::Refused;
            reply(PacketType::Refusal, pending.packet, RefusalKind::NotRun);
            continue;
        }
        state = RequestState::Running;
        ++m_busySlots;
        ++m_executions;
        m_log.recordExecution({ pending.packet.flow, pending.packet.request });
        m_queue.after(drawServiceTime(), [this, packet = pending.packet, incarnation = m_incarnation](auto) {
            if (m_running && incarnation == m_incarnation)
                finish(packet);
        });
    }
}

void FakeUpstream::finish(const Packet& packet)
{
    --m_busySlots;
    if (const auto flow = m_flows.find(packet.flow); flow != m_flows.end())
        flow->second[packet.request] = RequestState::Answered;
    reply(PacketType::Answer, packet);
    startQueuedRequests();
}

void FakeUpstream::reply(PacketType type, const Packet& cause, RefusalKind refusal)
{
    Packet packet;
    packet.type = type;
    packet.flow = cause.flow;
    packet.kind = cause.kind;
    packet.request = cause.request;
    packet.refusal = refusal;
    packet.upstream = m_options.id;
    m_reply(packet);
}

core::Duration FakeUpstream::drawServiceTime()
{
    const auto mean = static_cast<double>(m_options.meanServiceTime.count());
    return core::Duration(static_cast<core::Duration::rep>(-mean * std::log(1.0 - m_random.unit())));
}

upstream::Announcement FakeUpstream::announcement()
{
    upstream::Announcement announcement;
    announcement.upstream = m_options.id;
    announcement.service = m_options.service;
    announcement.zone = m_options.zone;
    announcement.incarnation = m_incarnation;
    announcement.sequence = ++m_sequence;
    announcement.state = m_state;
    announcement.slots = m_options.slots;
    announcement.busySlots = m_options.reportsZeroLoad ? 0 : static_cast<std::uint16_t>(m_busySlots);
    announcement.openFlows = m_options.reportsZeroLoad ? 0 : static_cast<std::uint32_t>(m_flows.size());
    return announcement;
}

void FakeUpstream::kill()
{
    m_running = false;
    m_flows.clear();
    m_waiting.clear();
    m_busySlots = 0;
}

void FakeUpstream::restart()
{
    kill();
    ++m_incarnation;
    m_sequence = 0;
    m_state = UpstreamState::Ready;
    m_running = true;
}

} // namespace support
