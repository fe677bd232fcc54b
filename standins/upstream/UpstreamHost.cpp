#include "upstream/UpstreamHost.h"

#include "ibisgw/adapters/WallClock.h"

#include <algorithm>
#include <csignal>

namespace standins {

using namespace ibisgw;
using packet::PacketType;
using packet::RefusalKind;
using upstream::UpstreamState;

namespace {

constexpr std::chrono::milliseconds tickPeriod { 5 };
constexpr std::chrono::milliseconds announcementPeriod { 1000 };
// Requests whose outcome is kept for each flow to answer late copies without a second execution; more are refused.
constexpr std::size_t maxRememberedRequests = 1024;

volatile std::sig_atomic_t drainSignal = 0;

void recordDrainSignal(int)
{
    drainSignal = 1;
}

} // namespace

UpstreamHost::UpstreamHost(UpstreamHostOptions options, adapters::UdpSocket socket)
    : m_options(std::move(options))
    , m_socket(socket)
    , m_id(core::UpstreamId::fromEndpoint(socket.localEndpoint()))
    , m_incarnation(adapters::wallClockMicroseconds())
    , m_address(socket.localEndpoint().toString())
    , m_startedAt(m_loop.now())
    , m_journal(m_options.journalFile, std::ios::app)
{
}

void UpstreamHost::run()
{
    struct sigaction action { };
    action.sa_handler = recordDrainSignal;
    sigaction(SIGUSR1, &action, nullptr);
    sigaction(SIGTERM, &action, nullptr);
    m_socket.receive(m_loop, [this](auto datagram, auto) { receive(datagram); });
    m_loop.addPeriodic(tickPeriod, [this] { tick(); });
    m_loop.addPeriodic(announcementPeriod, [this] { announce(); });
    announce();
    m_loop.run();
}

void UpstreamHost::receive(std::span<const std::byte> datagram)
{
    const auto packet = adapters::decodePacket(datagram);
    if (!packet)
        return;
    if (packet->type == PacketType::Open) {
        m_flows.try_emplace(packet->flow);
        reply(PacketType::Opened, packet->flow, packet->kind, 0);
        return;
    }
    if (!m_flows.contains(packet->flow)) {
        if (packet->type != PacketType::Close)
            reply(PacketType::Reset, packet->flow, packet->kind, packet->request);
        return;
    }
    if (packet->type == PacketType::Request)
        handleRequest(*packet);
    else if (packet->type == PacketType::Data)
        reply(PacketType::Data, packet->flow, packet->kind, packet->request);
    else if (packet->type == PacketType::Cancel)
        cancel(*packet);
    else if (packet->type == PacketType::Close)
        closeFlow(packet->flow);
}

void UpstreamHost::handleRequest(const packet::Packet& packet)
{
    auto& requests = m_flows[packet.flow].requests;
    if (const auto it = requests.find(packet.request); it != requests.end()) {
        resendOutcome(packet, it->second);
        return;
    }
    if (requests.size() >= maxRememberedRequests || m_waiting.size() >= m_options.queueLimit) {
        requests[packet.request] = RequestState::Refused;
        reply(PacketType::Refusal, packet.flow, packet.kind, packet.request, RefusalKind::NotRun);
        return;
    }
    PendingRequest pending { packet.flow, packet.kind, packet.request, std::nullopt, {} };
    if (packet.deadlineMs > 0)
        pending.deadline = m_loop.now() + std::chrono::milliseconds(packet.deadlineMs);
    requests[packet.request] = RequestState::Waiting;
    m_waiting.push_back(pending);
    startWaiting(m_loop.now());
}

void UpstreamHost::resendOutcome(const packet::Packet& packet, RequestState state)
{
    if (state == RequestState::Answered)
        reply(PacketType::Answer, packet.flow, packet.kind, packet.request);
    else if (state == RequestState::Refused)
        reply(PacketType::Refusal, packet.flow, packet.kind, packet.request, RefusalKind::NotRun);
}

void UpstreamHost::cancel(const packet::Packet& packet)
{
    const auto it = std::ranges::find_if(m_waiting,
        [&](const auto& pending) { return pending.flow == packet.flow && pending.request == packet.request; });
    if (it == m_waiting.end())
        return;
    setRequestState(*it, RequestState::Refused);
    m_waiting.erase(it);
}

void UpstreamHost::closeFlow(const core::FlowKey& flow)
{
    std::erase_if(m_waiting, [&](const auto& it) { return it.flow == flow; });
    m_flows.erase(flow);
}

void UpstreamHost::tick()
{
    const auto now = m_loop.now();
    if (drainSignal && !m_drainStartedAt) {
        m_drainStartedAt = now;
        announce();
    }
    finishRunning(now);
    startWaiting(now);
    m_loadHistory.push_back({ now, static_cast<std::uint16_t>(m_running.size()) });
    while (m_loadHistory.size() > 1 && now - m_loadHistory.front().at > m_options.reportLag)
        m_loadHistory.pop_front();
    if (isDrained(now)) {
        announce();
        m_loop.stop();
    }
}

void UpstreamHost::startWaiting(core::TimePoint now)
{
    while (!m_waiting.empty() && m_running.size() < m_options.slots) {
        auto pending = m_waiting.front();
        m_waiting.pop_front();
        if (pending.deadline && now > *pending.deadline) {
            setRequestState(pending, RequestState::Refused);
            reply(PacketType::Refusal, pending.flow, pending.kind, pending.request, RefusalKind::NotRun);
            continue;
        }
        m_journal << pending.flow.caller.toString() << ' ' << pending.request << ' ' << pending.kind << std::endl;
        setRequestState(pending, RequestState::Running);
        pending.finishesAt = now + m_options.serviceTime;
        m_running.push_back(pending);
    }
}

void UpstreamHost::finishRunning(core::TimePoint now)
{
    for (const auto& it : m_running) {
        if (it.finishesAt > now)
            continue;
        setRequestState(it, RequestState::Answered);
        reply(PacketType::Answer, it.flow, it.kind, it.request);
    }
    std::erase_if(m_running, [&](const auto& it) { return it.finishesAt <= now; });
}

void UpstreamHost::setRequestState(const PendingRequest& pending, RequestState state)
{
    const auto flow = m_flows.find(pending.flow);
    if (flow != m_flows.end())
        flow->second.requests[pending.request] = state;
}

UpstreamState UpstreamHost::currentState(core::TimePoint now) const
{
    if (isDrained(now))
        return UpstreamState::Stopped;
    if (m_drainStartedAt)
        return UpstreamState::Draining;
    if (now - m_startedAt < m_options.warmUp)
        return UpstreamState::Warming;
    return m_waiting.size() >= m_options.queueLimit ? UpstreamState::Shedding : UpstreamState::Ready;
}

void UpstreamHost::announce()
{
    upstream::Announcement announcement;
    announcement.upstream = m_id;
    announcement.service = m_options.service;
    announcement.zone = m_options.zone;
    announcement.incarnation = m_incarnation;
    announcement.sequence = ++m_sequence;
    announcement.state = currentState(m_loop.now());
    announcement.slots = m_options.slots;
    announcement.busySlots = m_loadHistory.empty() ? 0 : m_loadHistory.front().busySlots;
    announcement.openFlows = static_cast<std::uint32_t>(m_flows.size());
    if (adapters::encodeAnnouncement(announcement, m_buffer))
        m_socket.send(m_buffer, m_options.fabric);
}

void UpstreamHost::reply(
    PacketType type, const core::FlowKey& flow, core::KindId kind, core::RequestId request, RefusalKind refusal)
{
    packet::Packet packet;
    packet.type = type;
    packet.flow = flow;
    packet.kind = kind;
    packet.request = request;
    packet.refusal = refusal;
    packet.upstream = m_id;
    // The payload is the address of this upstream, so that callers can check that a flow stays on one upstream.
    packet.payload = std::as_bytes(std::span(m_address));
    if (adapters::encodePacket(packet, m_buffer))
        m_socket.send(m_buffer, m_options.fabric);
}

bool UpstreamHost::isDrained(core::TimePoint now) const
{
    if (!m_drainStartedAt)
        return false;
    return m_flows.empty() || now - *m_drainStartedAt > m_options.drainLimit;
}

} // namespace standins
