#pragma once

#include "ibisgw/adapters/MessageAuthenticator.h"
#include "ibisgw/core/Error.h"
#include "ibisgw/core/Time.h"

#include <functional>
#include <map>
#include <memory>
#include <span>
#include <vector>

namespace ibisgw::adapters {

class EventLoop;
class TcpStream;

namespace detail {
class WebSocketSession;
}

// Transfers messages between daemons that are too large for datagrams or must arrive in order: consensus messages and
// control requests such as forwarded submissions. Messages are sent over WebSocket connections. Each daemon sends on
// the connections that it has opened and receives on those that it has accepted, so that two daemons need not agree on
// one connection. Messages are lost when a connection breaks; the state machines of the senders retransmit them.
class StreamTransport {
public:
    using Receiver = std::function<void(core::NodeId sender, Channel, std::span<const std::byte> body)>;

    StreamTransport(EventLoop&, MessageAuthenticator&, Receiver);
    ~StreamTransport();

    // Starts to accept connections of other daemons. Returns the bound endpoint, whose port was chosen by the kernel if
    // port 0 was given.
    core::Result<core::Endpoint> listen(core::Endpoint);
    // Opens a connection if there is none. The message is queued while the connection is being opened, and dropped
    // while the peer cannot be reached.
    void send(core::NodeId, Channel, std::span<const std::byte> body, core::TimePoint now);
    // Frees closed incoming connections, which count towards the connection limit until then; to be called
    // periodically.
    void tick();

    std::uint64_t bytesSent() const { return m_bytesSent; }
    // Received messages that were dropped because they are malformed or fail authentication.
    std::uint64_t rejectedMessages() const { return m_rejectedMessages; }

private:
    struct Connection;

    std::unique_ptr<Connection> openConnection(core::NodeId);
    void acceptConnections(int listener);
    void receive(const std::string&);

    EventLoop& m_loop;
    MessageAuthenticator& m_authenticator;
    Receiver m_receiver;
    std::map<core::NodeId, std::unique_ptr<Connection>> m_outgoing;
    std::vector<std::unique_ptr<Connection>> m_incoming;
    std::uint64_t m_bytesSent { 0 };
    std::uint64_t m_rejectedMessages { 0 };
};

} // namespace ibisgw::adapters
