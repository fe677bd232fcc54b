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

// Carries messages between daemons that are too large for datagrams or must arrive in order:
// consensus messages and forwarded submissions. Each daemon sends on connections that it opened and
// receives on those that it accepted, so that no connection has to be agreed on. Messages are lost
// when a connection breaks; the state machines repeat them.
class StreamTransport {
public:
    using Receiver = std::function<void(core::NodeId sender, Channel, std::span<const std::byte> body)>;

    StreamTransport(EventLoop&, MessageAuthenticator&, Receiver);
    ~StreamTransport();

    // Accepts connections of other daemons; returns the bound address, which matters for port 0.
    core::Result<core::Endpoint> listen(core::Endpoint);
    // Connects when there is no connection yet. Drops the message while the peer cannot be reached.
    void send(core::NodeId, Channel, std::span<const std::byte> body, core::TimePoint now);
    // Frees closed connections; call it often.
    void tick();

    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t malformedMessages() const { return m_malformedMessages; }

private:
    struct Link;

    std::unique_ptr<Link> openLink(core::NodeId);
    void acceptLink(int listener);
    void receive(const std::string&);

    EventLoop& m_loop;
    MessageAuthenticator& m_authenticator;
    Receiver m_receiver;
    std::map<core::NodeId, std::unique_ptr<Link>> m_outgoing;
    std::vector<std::unique_ptr<Link>> m_incoming;
    std::uint64_t m_bytesSent { 0 };
    std::uint64_t m_malformedMessages { 0 };
};

} // namespace ibisgw::adapters
