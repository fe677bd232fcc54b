#include "ibisgwd/Daemon.h"

#include "ibisgw/adapters/KeyFile.h"
#include "ibisgw/adapters/Log.h"
#include "ibisgw/configuration/DocumentReader.h"

#include <fstream>
#include <nlohmann/json.hpp>

namespace ibisgwd {

using namespace ibisgw;
using adapters::LogLevel;

namespace {

constexpr std::chrono::milliseconds tickPeriod { 50 };
// The fabric stops using a balancer that it has not heard from for a few of these.
constexpr std::chrono::milliseconds presencePeriod { 200 };

std::uint64_t wallClockMicroseconds()
{
    using namespace std::chrono;
    return static_cast<std::uint64_t>(duration_cast<microseconds>(system_clock::now().time_since_epoch()).count());
}

core::Result<std::shared_ptr<const configuration::Document>> loadInitialDocument(const std::string& file)
{
    std::ifstream in(file);
    const auto json = nlohmann::json::parse(in, nullptr, false);
    if (json.is_discarded())
        return core::fail(core::ErrorKind::InvalidInput, file + " is missing or not JSON; correct initial_document");
    auto reading = configuration::readDocument(json);
    if (!reading.document)
        return core::fail(core::ErrorKind::InvalidInput, file + ": " + reading.problems.front().message);
    return std::make_shared<const configuration::Document>(std::move(*reading.document));
}

flow::FlowTokenCodec makeTokenCodec(const adapters::KeyRing& keys)
{
    const auto& current = keys.keys.at(keys.signingKey);
    for (const auto& [number, key] : keys.keys) {
        if (number != keys.signingKey)
            return { current, key };
    }
    return { current, std::nullopt };
}

std::vector<core::NodeId> peersFromSeeds(const settings::DaemonSettings& settings, core::NodeId self)
{
    std::vector<core::NodeId> peers { self };
    for (const auto& it : settings.seeds) {
        const auto peer = core::NodeId::fromEndpoint(it);
        if (peer != self)
            peers.push_back(peer);
    }
    return peers;
}

} // namespace

core::Result<std::unique_ptr<Daemon>> Daemon::create(settings::DaemonSettings settings)
{
    BOOST_LEAF_AUTO(callerSide, adapters::UdpSocket::bind(settings.callerSide));
    BOOST_LEAF_AUTO(upstreamSide, adapters::UdpSocket::bind(settings.upstreamSide));
    BOOST_LEAF_AUTO(control, adapters::UdpSocket::bind(settings.control));
    BOOST_LEAF_AUTO(keys, adapters::readKeyFile(settings.keyFile));
    std::unique_ptr<Daemon> daemon(
        new Daemon(std::move(settings), Sockets { callerSide, upstreamSide, control }, keys));
    if (!daemon->m_settings.initialDocument.empty()) {
        BOOST_LEAF_AUTO(document, loadInitialDocument(daemon->m_settings.initialDocument));
        daemon->m_balancer.applyDocument(std::move(document), daemon->m_loop.now());
    }
    return daemon;
}

Daemon::Daemon(settings::DaemonSettings settings, Sockets sockets, const adapters::KeyRing& keys)
    : m_settings(std::move(settings))
    , m_sockets(sockets)
    , m_self(core::NodeId::fromEndpoint(m_sockets.control.localEndpoint()))
    , m_random(wallClockMicroseconds() ^ m_self.value)
    , m_authenticator(m_self, keys, wallClockMicroseconds())
    , m_balancer({ m_self, m_settings.zone, m_settings.flowCapacity }, makeTokenCodec(keys), m_random)
{
    m_balancer.setPeers(peersFromSeeds(m_settings, m_self), m_loop.now());
}

Daemon::~Daemon() = default;

void Daemon::run()
{
    m_sockets.callerSide.receive(m_loop, [this](auto datagram, auto) { receiveFromCallers(datagram); });
    m_sockets.upstreamSide.receive(m_loop, [this](auto datagram, auto) { receiveFromUpstreams(datagram); });
    m_sockets.control.receive(m_loop, [this](auto datagram, auto) { receiveFromPeers(datagram); });
    m_loop.addPeriodic(tickPeriod, [this] { m_balancer.tick(m_loop.now(), *this); });
    m_loop.addPeriodic(presencePeriod, [this] { sendPresence(adapters::FrameKind::Heartbeat); });
    adapters::log(LogLevel::Info, "daemon started",
        { { "control", m_sockets.control.localEndpoint().toString() },
            { "caller_side", m_sockets.callerSide.localEndpoint().toString() },
            { "upstream_side", m_sockets.upstreamSide.localEndpoint().toString() } });
    m_loop.run();
    sendPresence(adapters::FrameKind::Withdrawal);
    adapters::log(LogLevel::Info, "daemon stopped");
}

void Daemon::receiveFromCallers(std::span<const std::byte> datagram)
{
    const auto packet = adapters::decodePacket(datagram);
    if (!packet) {
        ++m_malformedDatagrams;
        return;
    }
    m_balancer.handleCallerPacket(*packet, m_loop.now(), *this);
}

void Daemon::receiveFromUpstreams(std::span<const std::byte> datagram)
{
    if (const auto packet = adapters::decodePacket(datagram)) {
        m_balancer.handleUpstreamPacket(*packet, m_loop.now(), *this);
    } else if (const auto announcement = adapters::decodeAnnouncement(datagram)) {
        m_balancer.handleAnnouncement(*announcement, m_loop.now());
        forwardAnnouncement(datagram);
    } else {
        ++m_malformedDatagrams;
    }
}

void Daemon::receiveFromPeers(std::span<const std::byte> datagram)
{
    const auto message = m_authenticator.open(datagram);
    if (!message)
        return;
    if (message->channel == adapters::Channel::Relay) {
        if (const auto packet = adapters::decodePacket(message->body))
            m_balancer.handleRelayedPacket(*packet, m_loop.now(), *this);
    } else if (message->channel == adapters::Channel::Gossip) {
        if (const auto announcement = adapters::decodeAnnouncement(message->body))
            m_balancer.handleAnnouncement(*announcement, m_loop.now());
    }
}

void Daemon::sendToUpstream(core::UpstreamId upstream, const packet::Packet& packet)
{
    if (adapters::encodePacket(packet, m_packetBuffer))
        m_sockets.upstreamSide.send(m_packetBuffer, upstream.endpoint());
}

void Daemon::sendToCaller(const packet::Packet& packet)
{
    if (adapters::encodePacket(packet, m_packetBuffer))
        m_sockets.callerSide.send(m_packetBuffer, packet.flow.caller);
}

void Daemon::sendToPeer(core::NodeId peer, const packet::Packet& packet)
{
    if (adapters::encodePacket(packet, m_packetBuffer)
        && m_authenticator.seal(adapters::Channel::Relay, m_packetBuffer, m_messageBuffer))
        m_sockets.control.send(m_messageBuffer, peer.endpoint());
}

void Daemon::forwardAnnouncement(std::span<const std::byte> datagram)
{
    for (const auto& it : m_settings.seeds) {
        if (core::NodeId::fromEndpoint(it) != m_self
            && m_authenticator.seal(adapters::Channel::Gossip, datagram, m_messageBuffer))
            m_sockets.control.send(m_messageBuffer, it);
    }
}

void Daemon::sendPresence(adapters::FrameKind kind)
{
    const adapters::BalancerPresence presence {
        kind,
        m_sockets.callerSide.localEndpoint(),
        m_sockets.upstreamSide.localEndpoint(),
    };
    if (!adapters::encodePresence(presence, m_packetBuffer))
        return;
    for (const auto& it : m_settings.fabrics)
        m_sockets.upstreamSide.send(m_packetBuffer, it);
}

} // namespace ibisgwd
