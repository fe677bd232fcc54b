#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/StreamTransport.h"

#include <doctest/doctest.h>
#include <string>

using namespace ibisgw;

namespace {

adapters::KeyRing makeKeys(std::uint8_t keyByte)
{
    adapters::KeyRing ring { 1, {} };
    ring.keys[1].fill(std::byte { keyByte });
    return ring;
}

struct Peer {
    Peer(adapters::EventLoop& loop, core::NodeId self, std::uint8_t keyByte)
        : authenticator(self, makeKeys(keyByte), 1, adapters::maxStreamMessageBytes)
        , transport(loop, authenticator, [this](core::NodeId, adapters::Channel, std::span<const std::byte> body) {
            received.emplace_back(reinterpret_cast<const char*>(body.data()), body.size());
        })
    {
        const auto endpoint = transport.listen({ 0x7f000001, 0 });
        REQUIRE(endpoint);
        address = core::NodeId::fromEndpoint(*endpoint);
    }

    void send(const Peer& target, const std::string& message, core::TimePoint now)
    {
        transport.send(target.address, adapters::Channel::Consensus, std::as_bytes(std::span(message)), now);
    }

    core::NodeId address;
    adapters::MessageAuthenticator authenticator;
    std::vector<std::string> received;
    adapters::StreamTransport transport;
};

} // namespace

TEST_SUITE("adapters")
{
    // Guards against messages that are lost, truncated or accepted from a sender without the shared key.
    TEST_CASE("daemons exchange messages over WebSocket streams")
    {
        adapters::EventLoop loop;
        Peer receiver(loop, core::NodeId { 1 }, 1);
        bool isDone = false;
        int rounds = 0;
        // Runs every 10 ms; the limit of 3,000 rounds ends a test that would hang.
        loop.addPeriodic(std::chrono::milliseconds(10), [&] {
            if (isDone || ++rounds > 3000)
                loop.stop();
        });

        SUBCASE("messages arrive complete and in order")
        {
            Peer sender(loop, core::NodeId { 2 }, 1);
            const std::string large(1'000'000, 'x');
            for (const auto& it : { std::string("first"), large, std::string("last") })
                sender.send(receiver, it, loop.now());
            loop.addPeriodic(std::chrono::milliseconds(10), [&] { isDone = receiver.received.size() == 3; });
            loop.run();
            REQUIRE(receiver.received.size() == 3);
            CHECK(receiver.received[0] == "first");
            CHECK(receiver.received[1] == large);
            CHECK(receiver.received[2] == "last");
        }
        SUBCASE("a message that is signed with another key is counted and dropped")
        {
            Peer unauthorized(loop, core::NodeId { 3 }, 2);
            unauthorized.send(receiver, "vote", loop.now());
            loop.addPeriodic(
                std::chrono::milliseconds(10), [&] { isDone = receiver.transport.rejectedMessages() == 1; });
            loop.run();
            CHECK(receiver.received.empty());
            CHECK(receiver.authenticator.counters().altered == 1);
        }
    }
}
