#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Error.h"

#include <cstddef>
#include <functional>
#include <span>

namespace ibisgw::adapters {

class EventLoop;

// Non-blocking IPv4 UDP socket.
class UdpSocket {
public:
    using Receiver = std::function<void(std::span<const std::byte> datagram, core::Endpoint sender)>;

    // Port 0 binds a free port, which localEndpoint() returns.
    static core::Result<UdpSocket> bind(core::Endpoint);

    // Calls the receiver for each datagram, on the event loop, which takes ownership of the descriptor.
    void receive(EventLoop&, Receiver);
    // Best effort: a datagram that the kernel does not accept is lost, as datagrams on the network may be.
    void send(std::span<const std::byte>, core::Endpoint target) const;
    core::Endpoint localEndpoint() const { return m_local; }

private:
    UdpSocket(int fd, core::Endpoint local);

    int m_fd;
    core::Endpoint m_local;
};

} // namespace ibisgw::adapters
