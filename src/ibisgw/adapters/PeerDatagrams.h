#pragma once

#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ibisgw::adapters {

// Protocol of a message between daemons of the direct-return mode.
enum class PeerChannel : std::uint8_t {
    Consensus = 1,
    Sync = 2,
};

struct PeerDatagramCounters {
    std::uint64_t messagesSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t messagesReceived { 0 };
    std::uint64_t malformed { 0 };
    // Messages that were discarded before all of their fragments had arrived.
    std::uint64_t incomplete { 0 };
};

// Transfers messages of up to maxMessageBytes between daemons over UDP, split into fragments. UDP is used because there
// is no connection that can stall, and a lost message does not delay the following ones; the protocols on top
// retransmit what they need. Messages are not authenticated: only for networks that no other hosts can reach.
class PeerDatagrams {
public:
    using Receiver = std::function<void(core::NodeId sender, PeerChannel, std::string_view body)>;

    static constexpr std::size_t maxMessageBytes = std::size_t { 2 } << 20;

    // `firstMessageNumber` should be random, so that fragments of an earlier process at the same address are not
    // combined with those of this one.
    PeerDatagrams(EventLoop&, UdpSocket, std::uint32_t firstMessageNumber, Receiver);

    // Sends all datagrams to a gateway, which forwards them, and accepts datagrams only from it: for networks in which
    // daemons cannot reach each other directly, and for fault tests. A header with the source and target endpoints
    // precedes each datagram.
    void setGateway(core::Endpoint gateway) { m_gateway = gateway; }

    void start();
    // Discards a body of more than maxMessageBytes.
    void send(core::NodeId, PeerChannel, std::string_view body);
    core::NodeId self() const { return core::NodeId::fromEndpoint(m_socket.localEndpoint()); }
    const PeerDatagramCounters& counters() const { return m_counters; }

    // Processes a received datagram; public for tests.
    void receive(std::span<const std::byte>, core::Endpoint sender, core::TimePoint now);

private:
    // Received fragments of a message that is not complete yet.
    struct PartialMessage {
        std::vector<std::string> fragments;
        std::size_t missingCount { 0 };
        core::TimePoint startedAt;
    };
    using PartialMessageKey = std::pair<core::Endpoint, std::uint32_t>;

    void sendDatagram(core::Endpoint target);
    void receiveFromGateway(std::span<const std::byte>, core::TimePoint now);
    void dropExpiredMessages(core::TimePoint now);

    EventLoop& m_loop;
    UdpSocket m_socket;
    core::Endpoint m_gateway;
    std::uint32_t m_nextMessageNumber;
    Receiver m_receiver;
    std::map<PartialMessageKey, PartialMessage> m_partialMessages;
    std::vector<std::byte> m_buffer;
    PeerDatagramCounters m_counters;
};

} // namespace ibisgw::adapters
