#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/Error.h"

#include <cstddef>
#include <functional>
#include <span>

namespace ibisgw::adapters {

class EventLoop;

// Non-blocking IPv4 datagram socket.
class UdpSocket {
public:
    using Receiver = std::function<void(std::span<const std::byte> datagram, core::Endpoint sender)>;

    // Port 0 binds a free port; localEndpoint() tells which.
    static core::Result<UdpSocket> bind(core::Endpoint);

    // Hands every datagram to the receiver from the event loop, which takes the descriptor over.
    void receive(EventLoop&, Receiver);
    // Best effort: a datagram that the kernel cannot take is lost, as on the network.
    void send(std::span<const std::byte>, core::Endpoint target) const;
    core::Endpoint localEndpoint() const { return m_local; }

private:
    UdpSocket(int fd, core::Endpoint local);

    int m_fd;
    core::Endpoint m_local;
};

} // namespace ibisgw::adapters
