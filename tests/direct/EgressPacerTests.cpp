#include "ibisgw/direct/EgressPacer.h"

#include <doctest/doctest.h>

#include <random>

using namespace ibisgw;
using namespace ibisgw::direct;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t linkBytesPerSecond = 250'000;
constexpr std::size_t fullPacket = 1240;

EgressPacket packetOf(EgressClass egressClass, std::uint64_t identity, std::size_t bytes = fullPacket)
{
    return { egressClass, { 0x0a000001, 8080 }, identity, std::vector<std::byte>(bytes) };
}

// A link that drops packets that don't fit into its small buffer, as the links of small VMs do.
struct SlowLink {
    double queued { 0 };
    core::TimePoint drainedAt {};
    std::size_t dropped { 0 };

    void send(std::size_t bytes, core::TimePoint now)
    {
        constexpr double bufferBytes = 6000;
        queued = std::max(0.0, queued - core::toSeconds(now - drainedAt) * linkBytesPerSecond);
        drainedAt = now;
        const auto size = static_cast<double>(bytes + 28);
        if (queued + size > bufferBytes)
            ++dropped;
        else
            queued += size;
    }
};

} // namespace

TEST_SUITE("direct")
{
    TEST_CASE("a burst of uploads does not overflow a slow link")
    {
        EgressPacer pacer({ linkBytesPerSecond });
        SlowLink link;
        core::TimePoint now { 10s };
        std::size_t sent = 0;
        const auto offer = [&](EgressPacket packet) {
            if (pacer.admit(packet.bytes.size(), now)) {
                link.send(packet.bytes.size(), now);
                ++sent;
            } else {
                pacer.enqueue(std::move(packet), now);
            }
        };
        const auto release = [&] {
            while (const auto packet = pacer.next(now)) {
                link.send(packet->bytes.size(), now);
                ++sent;
            }
        };

        // Guards against forwarding a window of 16 packets without pacing: the link dropped 11 to 14 of them.
        for (std::uint64_t n = 1; n <= 16; ++n)
            offer(packetOf(EgressClass::Bulk, n));
        SUBCASE("all packets of a window arrive")
        {
            for (int n = 0; n < 40; ++n) {
                now += 4ms;
                release();
            }
            CHECK(sent == 16);
            CHECK(link.dropped == 0);
            CHECK(pacer.isEmpty());
        }
        SUBCASE("a retransmission of a queued packet is dropped")
        {
            CHECK_FALSE(pacer.enqueue(packetOf(EgressClass::Bulk, 16), now));
            CHECK(pacer.droppedRetransmissions() == 1);
        }
        SUBCASE("a retransmission of a packet that was just sent is dropped, a later one is queued")
        {
            while (!pacer.isEmpty()) {
                now += 4ms;
                release();
            }
            CHECK_FALSE(pacer.enqueue(packetOf(EgressClass::Bulk, 16), now));
            now += 100ms;
            CHECK(pacer.enqueue(packetOf(EgressClass::Bulk, 16), now));
        }
        SUBCASE("interactive packets precede queued uploads, and packets without data precede both")
        {
            pacer.enqueue(packetOf(EgressClass::Interactive, 100, 200), now);
            pacer.enqueue(packetOf(EgressClass::Control, 0, 40), now);
            now += 30ms;
            CHECK(pacer.next(now)->egressClass == EgressClass::Control);
            CHECK(pacer.next(now)->egressClass == EgressClass::Interactive);
            CHECK(pacer.next(now)->egressClass == EgressClass::Bulk);
        }
    }

    TEST_CASE("the queue of the pacer is bounded")
    {
        EgressPacer pacer({ linkBytesPerSecond, 4000, 10'000 });
        const core::TimePoint now { 10s };
        std::uint64_t taken = 0;
        for (std::uint64_t n = 1; n <= 100; ++n)
            taken += pacer.enqueue(packetOf(EgressClass::Bulk, n), now) ? 1 : 0;
        CHECK(taken == 8);
        CHECK(pacer.droppedFull() == 92);
    }

    TEST_CASE("a dequeued packet holds the time at which it was queued")
    {
        EgressPacer pacer({ linkBytesPerSecond });
        const core::TimePoint queuedAt { 10s };
        while (pacer.admit(fullPacket, queuedAt)) { }
        pacer.enqueue(packetOf(EgressClass::Bulk, 1), queuedAt);
        const auto packet = pacer.next(queuedAt + 100ms);
        REQUIRE(packet);
        CHECK(packet->queuedAt == queuedAt);
    }

    TEST_CASE("a pacer without a rate limit admits every packet")
    {
        EgressPacer pacer({ 0 });
        for (int n = 0; n < 1000; ++n)
            CHECK(pacer.admit(fullPacket, core::TimePoint { 1s }));
    }

    // Guards against uploads that stop for as long as other packets fill the link.
    TEST_CASE("packets of class Bulk get a share of a full link once they have waited for 100 ms")
    {
        EgressPacer pacer({ linkBytesPerSecond });
        core::TimePoint now { 10s };
        while (pacer.admit(fullPacket, now)) { }
        for (std::uint64_t n = 1; n <= 20; ++n)
            pacer.enqueue(packetOf(EgressClass::Bulk, n), now);
        std::size_t bulk = 0;
        std::size_t others = 0;
        const auto run = [&](core::Duration length) {
            bulk = others = 0;
            for (const auto end = now + length; now < end; now += 4ms) {
                while (pacer.queuedBytes() < 30'000)
                    pacer.enqueue(packetOf(EgressClass::Interactive, 0), now);
                while (const auto packet = pacer.next(now))
                    ++(packet->egressClass == EgressClass::Bulk ? bulk : others);
            }
        };
        run(100ms);
        CHECK(bulk == 0);
        run(400ms);
        CHECK(bulk >= others / 8);
        CHECK(bulk <= others / 6);
    }
}
