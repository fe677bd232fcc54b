#include "ibisgw/runtime/ConnectProber.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <optional>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace ibisgw;
using namespace std::chrono_literals;
using direct::ProbeResult;

namespace {

constexpr upstream::InstanceId id { 7 };

// Listening socket on loopback.
class Listener {
public:
    Listener()
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0);
        REQUIRE(::listen(m_fd, 8) == 0);
        socklen_t n = sizeof address;
        REQUIRE(::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &n) == 0);
        m_endpoint = { INADDR_LOOPBACK, ntohs(address.sin_port) };
    }
    ~Listener() { close(); }

    core::Endpoint endpoint() const { return m_endpoint; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }
    // Accepts the next connection and closes it with a reset.
    void resetNext() const
    {
        const int fd = ::accept(m_fd, nullptr, nullptr);
        REQUIRE(fd >= 0);
        const linger option { 1, 0 };
        ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &option, sizeof option);
        ::close(fd);
    }

private:
    int m_fd { ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0) };
    core::Endpoint m_endpoint;
};

struct ProberFixture {
    Listener listener;
    std::optional<ProbeResult> result;
    runtime::ConnectProber prober { [this](upstream::InstanceId, ProbeResult it) { result = it; } };
    core::TimePoint now { 100s };

    void start() { prober.probe(id, listener.endpoint(), now); }
    ProbeResult resultWithin(int steps)
    {
        for (int n = 0; n < steps && !result; ++n) {
            std::this_thread::sleep_for(1ms);
            prober.tick(now);
        }
        REQUIRE(result);
        return *result;
    }
};

} // namespace

TEST_SUITE("runtime")
{
    TEST_CASE_FIXTURE(ProberFixture, "a probe tells whether an upstream accepts connections")
    {
        SUBCASE("one that accepts them has answered")
        {
            start();
            CHECK(resultWithin(1000) == ProbeResult::Answered);
        }
        // Guards against resetting the open flows of an upstream that holds as many connections as it may.
        SUBCASE("also one that resets the connection after it accepted it")
        {
            start();
            listener.resetNext();
            CHECK(resultWithin(1000) == ProbeResult::Answered);
        }
        SUBCASE("a port without a listener has refused")
        {
            listener.close();
            start();
            CHECK(resultWithin(1000) == ProbeResult::Refused);
        }
        SUBCASE("a cancelled probe has no result")
        {
            start();
            prober.cancelAll();
            prober.tick(now + 1s);
            CHECK_FALSE(result);
        }
    }
}
