#include "ibisgwd/BalancerRole.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/Log.h"
#include "ibisgw/adapters/WallClock.h"
#include "ibisgwd/PeerNetwork.h"

namespace ibisgwd {

using namespace ibisgw;

namespace {

// Interval of presence heartbeats. The fabric stops using a balancer after it has missed a few of them.
constexpr std::chrono::milliseconds presencePeriod { 200 };

// Packets that were in flight when the fabric received the withdrawal arrive within this time.
constexpr core::Duration quietPeriod = std::chrono::milliseconds(500);

balancer::BalancerOptions makeOptions(const settings::DaemonSettings& settings, core::NodeId self)
{
    balancer::BalancerOptions options;
    options.self = self;
    options.zone = settings.zone;
    options.flowCapacity = settings.flowCapacity;
    options.firstRecordSequence = adapters::wallClockMicroseconds();
    return options;
}

} // namespace

core::Result<std::unique_ptr<BalancerRole>> BalancerRole::create(const settings::DaemonSettings& settings,
    const flow::FlowTokenCodec& tokens, core::RandomSource& random, adapters::EventLoop& loop, PeerNetwork& network,
    AnnouncementHandler announcementHandler)
{
    BOOST_LEAF_AUTO(callerSide, adapters::UdpSocket::bind(settings.callerSide));
    BOOST_LEAF_AUTO(upstreamSide, adapters::UdpSocket::bind(settings.upstreamSide));
    std::unique_ptr<adapters::TraceWriter> traceWriter;
    if (!settings.traceFile.empty()) {
        BOOST_LEAF_ASSIGN(traceWriter, adapters::TraceWriter::open(settings.traceFile, settings.traceSamplingRate));
    }
    return std::unique_ptr<BalancerRole>(new BalancerRole(settings, Sockets { callerSide, upstreamSide }, tokens,
        random, loop, network, std::move(announcementHandler), std::move(traceWriter)));
}

BalancerRole::BalancerRole(const settings::DaemonSettings& settings, Sockets sockets,
    const flow::FlowTokenCodec& tokens, core::RandomSource& random, adapters::EventLoop& loop, PeerNetwork& network,
    AnnouncementHandler announcementHandler, std::unique_ptr<adapters::TraceWriter> traceWriter)
    : m_loop(loop)
    , m_network(network)
    , m_announcementHandler(std::move(announcementHandler))
    , m_fabrics(settings.fabrics)
    , m_sockets(sockets)
    , m_balancer(makeOptions(settings, network.self()), tokens, random)
    , m_tracer(settings.name, std::move(traceWriter), random)
{
}

BalancerRole::~BalancerRole() = default;

void BalancerRole::start()
{
    m_sockets.callerSide.receive(m_loop, [this](auto datagram, auto) { receiveFromCallers(datagram); });
    m_sockets.upstreamSide.receive(m_loop, [this](auto datagram, auto) { receiveFromUpstreams(datagram); });
    m_loop.addPeriodic(presencePeriod, [this] {
        if (m_isReady && !m_isWithdrawn)
            sendPresence(adapters::FrameKind::Heartbeat);
    });
    adapters::log(adapters::LogLevel::Info, "balancer started",
        { { "caller_side", m_sockets.callerSide.localEndpoint().toString() },
            { "upstream_side", m_sockets.upstreamSide.localEndpoint().toString() } });
}

void BalancerRole::setReady(bool isReady)
{
    if (m_isReady == isReady || m_isWithdrawn)
        return;
    m_isReady = isReady;
    sendPresence(isReady ? adapters::FrameKind::Heartbeat : adapters::FrameKind::Withdrawal);
}

void BalancerRole::withdraw()
{
    m_isWithdrawn = true;
    m_lastPacketAt = m_loop.now();
    sendPresence(adapters::FrameKind::Withdrawal);
}

bool BalancerRole::isQuiet() const
{
    return m_isWithdrawn && m_loop.now() - m_lastPacketAt > quietPeriod;
}

void BalancerRole::tick()
{
    m_balancer.tick(m_loop.now(), *this);
}

void BalancerRole::handleRelayed(std::span<const std::byte> datagram)
{
    const auto packet = adapters::decodePacket(datagram);
    if (!packet) {
        ++m_malformedDatagrams;
        return;
    }
    m_lastPacketAt = m_loop.now();
    m_tracer.trace("balancer", *packet, [&] { m_balancer.handleRelayedPacket(*packet, m_lastPacketAt, *this); });
}

void BalancerRole::receiveFromCallers(std::span<const std::byte> datagram)
{
    const auto packet = adapters::decodePacket(datagram);
    if (!packet) {
        ++m_malformedDatagrams;
        return;
    }
    m_lastPacketAt = m_loop.now();
    m_tracer.trace("caller", *packet, [&] { m_balancer.handleCallerPacket(*packet, m_lastPacketAt, *this); });
}

void BalancerRole::receiveFromUpstreams(std::span<const std::byte> datagram)
{
    if (const auto packet = adapters::decodePacket(datagram)) {
        m_lastPacketAt = m_loop.now();
        m_tracer.trace("upstream", *packet, [&] { m_balancer.handleUpstreamPacket(*packet, m_lastPacketAt, *this); });
    } else if (const auto announcement = adapters::decodeAnnouncement(datagram)) {
        m_balancer.handleAnnouncement(*announcement, m_loop.now());
        m_announcementHandler(*announcement);
    } else {
        ++m_malformedDatagrams;
    }
}

void BalancerRole::sendToUpstream(core::UpstreamId upstream, const packet::Packet& packet)
{
    if (encode(packet))
        m_sockets.upstreamSide.send(m_packetBuffer, upstream.endpoint());
}

void BalancerRole::sendToCaller(const packet::Packet& packet)
{
    if (encode(packet))
        m_sockets.callerSide.send(m_packetBuffer, packet.flow.caller);
}

void BalancerRole::sendToPeer(core::NodeId peer, const packet::Packet& packet)
{
    if (encode(packet))
        m_network.sendDatagram(peer, adapters::Channel::Relay, m_packetBuffer);
}

void BalancerRole::noteHedged(const balancer::HedgedRequest& hedged)
{
    m_hedgeLog.add(hedged, m_loop.now());
}

bool BalancerRole::encode(const packet::Packet& packet)
{
    // Avoids a copy of the packet if its flow is not sampled.
    if (!m_tracer.isInSpan())
        return adapters::encodePacket(packet, m_packetBuffer);
    auto tracedPacket = packet;
    m_tracer.attachTrace(tracedPacket);
    return adapters::encodePacket(tracedPacket, m_packetBuffer);
}

void BalancerRole::sendPresence(adapters::FrameKind kind)
{
    const adapters::BalancerPresence presence {
        kind,
        m_sockets.callerSide.localEndpoint(),
        m_sockets.upstreamSide.localEndpoint(),
    };
    if (!adapters::encodePresence(presence, m_packetBuffer))
        return;
    for (const auto& it : m_fabrics)
        m_sockets.upstreamSide.send(m_packetBuffer, it);
}

} // namespace ibisgwd
