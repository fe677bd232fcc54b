#include "adapters/HttpProbe.h"

#include <arpa/inet.h>
#include <cerrno>
#include <h2o.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace support {

namespace {

constexpr int maxIterations = 6000;
constexpr int iterationTimeoutMs = 10;

} // namespace

HttpProbe::HttpProbe(ibisgw::adapters::EventLoop& loop, ibisgw::core::Endpoint server)
    : m_loop(loop)
    , m_fd(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(server.port);
    address.sin_addr.s_addr = htonl(server.address);
    // The kernel completes the connection before the server accepts it.
    if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("cannot connect to the HTTP server of the test");
}

HttpProbe::~HttpProbe()
{
    close();
}

void HttpProbe::close()
{
    if (m_fd >= 0)
        ::close(m_fd);
    m_fd = -1;
}

void HttpProbe::send(const std::string& bytes)
{
    std::size_t sent = 0;
    runUntil(m_loop, [&] {
        const auto n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_DONTWAIT | MSG_NOSIGNAL);
        sent += n > 0 ? static_cast<std::size_t>(n) : 0;
        // Stops sending if the server has closed the connection early; its answer can still be read.
        return sent == bytes.size() || (n < 0 && errno != EAGAIN);
    });
}

std::string HttpProbe::readToEnd()
{
    std::string received;
    runUntil(m_loop, [&] {
        char buf[65536];
        for (;;) {
            const auto n = ::recv(m_fd, buf, sizeof buf, MSG_DONTWAIT);
            if (n <= 0)
                return n == 0 || errno != EAGAIN;
            received.append(buf, static_cast<std::size_t>(n));
        }
    });
    return received;
}

HttpAnswer parseAnswer(const std::string& bytes)
{
    HttpAnswer answer;
    if (bytes.starts_with("HTTP/1.1 "))
        answer.status = std::stoi(bytes.substr(9, 3));
    const auto end = bytes.find("\r\n\r\n");
    if (end != std::string::npos)
        answer.body = bytes.substr(end + 4);
    return answer;
}

HttpAnswer request(ibisgw::adapters::EventLoop& loop, ibisgw::core::Endpoint server, const std::string& method,
    const std::string& path, const std::string& body, const std::string& token)
{
    std::string text = method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1:8600\r\n";
    if (method == "POST")
        text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n";
    if (!token.empty())
        text += "Authorization: Bearer " + token + "\r\n";
    HttpProbe probe(loop, server);
    probe.send(text + "\r\n" + body);
    return parseAnswer(probe.readToEnd());
}

void runUntil(ibisgw::adapters::EventLoop& loop, const std::function<bool()>& condition)
{
    for (int n = 0; n < maxIterations; ++n) {
        if (condition())
            return;
        h2o_evloop_run(loop.nativeLoop(), iterationTimeoutMs);
    }
    throw std::runtime_error("the condition did not become true in time");
}

} // namespace support
