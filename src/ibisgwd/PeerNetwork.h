#pragma once

#include "ibisgw/adapters/MessageAuthenticator.h"
#include "ibisgw/adapters/StreamTransport.h"
#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/membership/GossipOutput.h"

#include <functional>
#include <vector>

namespace ibisgwd {

// Sends and receives authenticated messages between daemons: datagrams for relayed packets and gossip, streams for Raft
// messages and control requests. Both use the port of the control address.
class PeerNetwork final : public ibisgw::membership::GossipOutput {
public:
    using Receiver
        = std::function<void(ibisgw::core::NodeId sender, ibisgw::adapters::Channel, std::span<const std::byte> body)>;

    PeerNetwork(ibisgw::adapters::EventLoop&, ibisgw::adapters::UdpSocket control, ibisgw::adapters::KeyRing,
        std::uint64_t epoch, Receiver);
    ~PeerNetwork() override;

    // Starts to receive messages. Returns an error if the stream port is already in use.
    ibisgw::core::Result<void> start();

    void sendDatagram(ibisgw::core::NodeId, ibisgw::adapters::Channel, std::span<const std::byte> body);
    void sendStream(ibisgw::core::NodeId, ibisgw::adapters::Channel, std::span<const std::byte> body);
    void send(ibisgw::core::NodeId, const ibisgw::membership::GossipMessage&) override;
    void tick();
    void setKeys(const ibisgw::adapters::KeyRing&);

    ibisgw::core::NodeId self() const { return m_self; }
    const ibisgw::adapters::AuthenticationCounters& datagramCounters() const { return m_datagrams.counters(); }
    const ibisgw::adapters::AuthenticationCounters& streamCounters() const { return m_streams.counters(); }
    std::uint64_t streamBytesSent() const { return m_transport.bytesSent(); }
    // Bytes of consensus messages with their overhead. Control requests, which operators cause, are not included.
    std::uint64_t consensusBytesSent() const { return m_consensusBytesSent; }

private:
    void receiveDatagram(std::span<const std::byte>);

    ibisgw::adapters::EventLoop& m_loop;
    ibisgw::adapters::UdpSocket m_control;
    ibisgw::core::NodeId m_self;
    // Datagrams and streams have separate sequence numbers. With a shared sequence, datagrams would advance the replay
    // window past the messages of a slow stream.
    ibisgw::adapters::MessageAuthenticator m_datagrams;
    ibisgw::adapters::MessageAuthenticator m_streams;
    Receiver m_receiver;
    ibisgw::adapters::StreamTransport m_transport;
    std::uint64_t m_consensusBytesSent { 0 };
    std::vector<std::byte> m_gossipBuffer;
    std::vector<std::byte> m_messageBuffer;
};

} // namespace ibisgwd
