#pragma once

#include "ibisgw/adapters/MessageAuthenticator.h"
#include "ibisgw/adapters/StreamTransport.h"
#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/membership/GossipOutput.h"

#include <functional>
#include <vector>

namespace ibisgwd {

// Authenticated messages between daemons: datagrams for relays and gossip, streams for consensus and
// forwarded submissions. Both use the port of the control address.
class PeerNetwork final : public ibisgw::membership::GossipOutput {
public:
    using Receiver
        = std::function<void(ibisgw::core::NodeId sender, ibisgw::adapters::Channel, std::span<const std::byte> body)>;

    PeerNetwork(ibisgw::adapters::EventLoop&, ibisgw::adapters::UdpSocket control, ibisgw::adapters::KeyRing,
        std::uint64_t epoch, Receiver);
    ~PeerNetwork() override;

    // Starts to receive; a stream port that is taken ends in an error.
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
    // Bytes of consensus messages, without those of requests that operators cause.
    std::uint64_t consensusBytesSent() const { return m_consensusBytesSent; }

private:
    void receiveDatagram(std::span<const std::byte>);

    ibisgw::adapters::EventLoop& m_loop;
    ibisgw::adapters::UdpSocket m_control;
    ibisgw::core::NodeId m_self;
    // Separate sequences: a slow stream must not fall out of the replay window that datagrams move.
    ibisgw::adapters::MessageAuthenticator m_datagrams;
    ibisgw::adapters::MessageAuthenticator m_streams;
    Receiver m_receiver;
    ibisgw::adapters::StreamTransport m_transport;
    std::uint64_t m_consensusBytesSent { 0 };
    std::vector<std::byte> m_gossipBuffer;
    std::vector<std::byte> m_messageBuffer;
};

} // namespace ibisgwd
