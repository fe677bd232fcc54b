#include "ibisgwd/PeerNetwork.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/GossipCodec.h"
#include "ibisgw/membership/GossipMessage.h"

namespace ibisgwd {

using namespace ibisgw;
using adapters::Channel;

namespace {

// Overhead of a short stream message: envelope with authentication tag, WebSocket frame, and TCP and IP headers.
constexpr std::size_t streamOverheadBytes = 140;

bool usesDatagrams(Channel channel)
{
    return channel == Channel::Relay || channel == Channel::Gossip;
}

} // namespace

PeerNetwork::PeerNetwork(adapters::EventLoop& loop, adapters::UdpSocket control, adapters::KeyRing keys,
    std::uint64_t epoch, Receiver receiver)
    : m_loop(loop)
    , m_control(control)
    , m_self(core::NodeId::fromEndpoint(control.localEndpoint()))
    , m_datagrams(m_self, keys, epoch)
    , m_streams(m_self, std::move(keys), epoch, adapters::maxStreamMessageBytes)
    , m_receiver(std::move(receiver))
    , m_transport(loop, m_streams, [this](core::NodeId sender, Channel channel, std::span<const std::byte> body) {
        if (!usesDatagrams(channel))
            m_receiver(sender, channel, body);
    })
{
}

PeerNetwork::~PeerNetwork() = default;

core::Result<void> PeerNetwork::start()
{
    BOOST_LEAF_CHECK(m_transport.listen(m_control.localEndpoint()));
    m_control.receive(m_loop, [this](auto datagram, auto) { receiveDatagram(datagram); });
    return {};
}

void PeerNetwork::receiveDatagram(std::span<const std::byte> datagram)
{
    const auto message = m_datagrams.open(datagram);
    if (message && usesDatagrams(message->channel))
        m_receiver(message->sender, message->channel, message->body);
}

void PeerNetwork::sendDatagram(core::NodeId peer, Channel channel, std::span<const std::byte> body)
{
    if (m_datagrams.seal(channel, body, m_messageBuffer))
        m_control.send(m_messageBuffer, peer.endpoint());
}

void PeerNetwork::sendStream(core::NodeId peer, Channel channel, std::span<const std::byte> body)
{
    if (channel == Channel::Consensus)
        m_consensusBytesSent += body.size() + streamOverheadBytes;
    m_transport.send(peer, channel, body, m_loop.now());
}

void PeerNetwork::send(core::NodeId peer, const membership::GossipMessage& message)
{
    if (adapters::encodeGossip(message, m_gossipBuffer))
        sendDatagram(peer, Channel::Gossip, m_gossipBuffer);
}

void PeerNetwork::tick()
{
    m_transport.tick();
}

void PeerNetwork::setKeys(const adapters::KeyRing& keys)
{
    m_datagrams.setKeys(keys);
    m_streams.setKeys(keys);
}

} // namespace ibisgwd
