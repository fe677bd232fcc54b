#pragma once

#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/core/Ids.h"
#include "ibisgw/core/Time.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace ibisgw::adapters {

// What a message between daemons of the direct-return mode carries.
enum class PeerChannel : std::uint8_t {
    Consensus = 1,
    Sync = 2,
};

struct PeerDatagramCounters {
    std::uint64_t messagesSent { 0 };
    std::uint64_t bytesSent { 0 };
    std::uint64_t messagesReceived { 0 };
    std::uint64_t malformed { 0 };
    // Messages of which a part did not arrive in time.
    std::uint64_t incomplete { 0 };
};

// Messages of up to maxMessageBytes between daemons over UDP, in fragments. Datagrams need no connection that may
// fall silent, and a lost message does not delay the next; the protocols above repeat what matters. Not
// authenticated: for networks that only the daemons can reach.
class PeerDatagrams {
public:
    using Receiver = std::function<void(core::NodeId sender, PeerChannel, std::string_view body)>;

    static constexpr std::size_t maxMessageBytes = std::size_t { 2 } << 20;

    // `firstNumber` should be random, so that fragments of two processes at one address do not mix.
    PeerDatagrams(EventLoop&, UdpSocket, std::uint32_t firstNumber, Receiver);

    // Sends everything through a gateway, which passes it on: for networks in which daemons cannot reach each other
    // directly, and for fault tests. Source and target stand in front of each datagram.
    void setGateway(core::Endpoint gateway) { m_gateway = gateway; }

    void start();
    void send(core::NodeId, PeerChannel, std::string_view body);
    core::NodeId self() const { return core::NodeId::fromEndpoint(m_socket.localEndpoint()); }
    const PeerDatagramCounters& counters() const { return m_counters; }

    // Takes one datagram; public for tests.
    void receive(std::span<const std::byte>, core::Endpoint sender, core::TimePoint now);

private:
    struct Partial {
        std::vector<std::string> fragments;
        std::size_t missing { 0 };
        core::TimePoint startedAt;
    };
    using PartialKey = std::pair<core::Endpoint, std::uint32_t>;

    void transmit(core::Endpoint target);
    void receiveFromGateway(std::span<const std::byte>, core::TimePoint now);
    void dropOldPartials(core::TimePoint now);

    EventLoop& m_loop;
    UdpSocket m_socket;
    core::Endpoint m_gateway;
    std::uint32_t m_nextNumber;
    Receiver m_receiver;
    std::map<PartialKey, Partial> m_partials;
    std::vector<std::byte> m_buffer;
    PeerDatagramCounters m_counters;
};

} // namespace ibisgw::adapters
