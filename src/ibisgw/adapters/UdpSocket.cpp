#include "ibisgw/adapters/UdpSocket.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/SocketAddress.h"

#include <array>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>
#include <unistd.h>

namespace ibisgw::adapters {

namespace {

// Receive buffer of the kernel; holds bursts that arrive while the event loop is busy.
constexpr int receiveBufferBytes = 4 * 1024 * 1024;

// Largest number of datagrams handled before the event loop serves other events.
constexpr int maxDatagramsPerWakeup = 64;

} // namespace

UdpSocket::UdpSocket(int fd, core::Endpoint local)
    : m_fd(fd)
    , m_local(local)
{
}

core::Result<UdpSocket> UdpSocket::bind(core::Endpoint endpoint)
{
    const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return core::fail(
            core::ErrorKind::IoFailed, std::string("cannot create a UDP socket: ") + std::strerror(errno));
    ::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &receiveBufferBytes, sizeof receiveBufferBytes);
    auto address = toSocketAddress(endpoint);
    socklen_t n = sizeof address;
    if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), n) != 0
        || ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &n) != 0) {
        const std::string reason = std::strerror(errno);
        ::close(fd);
        return core::fail(core::ErrorKind::IoFailed,
            "cannot bind " + endpoint.toString() + ": " + reason + "; choose a free address in the settings");
    }
    return UdpSocket(fd, toEndpoint(address));
}

void UdpSocket::receive(EventLoop& loop, Receiver receiver)
{
    loop.watchReadable(m_fd, [fd = m_fd, receiver = std::move(receiver)] {
        std::array<std::byte, 65536> buf;
        for (int n = 0; n < maxDatagramsPerWakeup; ++n) {
            sockaddr_in sender {};
            socklen_t senderSize = sizeof sender;
            const auto size = ::recvfrom(
                fd, buf.data(), buf.size(), MSG_DONTWAIT, reinterpret_cast<sockaddr*>(&sender), &senderSize);
            if (size < 0)
                return;
            receiver({ buf.data(), static_cast<std::size_t>(size) }, toEndpoint(sender));
        }
    });
}

void UdpSocket::send(std::span<const std::byte> datagram, core::Endpoint target) const
{
    const auto address = toSocketAddress(target);
    ::sendto(m_fd, datagram.data(), datagram.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&address),
        sizeof address);
}

} // namespace ibisgw::adapters
