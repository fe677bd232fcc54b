#include "ibisgw/core/PcgRandomSource.h"
#include "support/FakeUpstream.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;
using packet::Packet;
using packet::PacketType;

namespace {

constexpr core::Endpoint serviceAddress { 0xc0000201, 443 };

Packet packetOf(PacketType type, core::RequestId request)
{
    Packet packet;
    packet.type = type;
    packet.flow = { { 1, 50000 }, serviceAddress };
    packet.request = request;
    return packet;
}

} // namespace

TEST_SUITE("balancer")
{
    // Guards against a fake upstream that runs cancelled requests: other tests could then not detect lost
    // cancellations.
    TEST_CASE("an upstream does not run a request that was cancelled before it started")
    {
        core::PcgRandomSource random(1);
        support::MessageQueue queue({}, random);
        support::ExecutionLog log;
        support::FakeUpstreamOptions options { { 1 }, "slotdesk", serviceAddress };
        options.slots = 1;
        support::FakeUpstream upstream(options, queue, random, log, [](const Packet&) {});
        upstream.handlePacket(packetOf(PacketType::Open, 0));
        upstream.handlePacket(packetOf(PacketType::Request, 1));
        SUBCASE("while the request is queued")
        {
            upstream.handlePacket(packetOf(PacketType::Request, 2));
            upstream.handlePacket(packetOf(PacketType::Cancel, 2));
        }
        SUBCASE("when the cancellation arrives before the request")
        {
            upstream.handlePacket(packetOf(PacketType::Cancel, 2));
            upstream.handlePacket(packetOf(PacketType::Request, 2));
        }
        queue.runFor(10s);
        CHECK(upstream.executions() == 1);
        CHECK(upstream.cancellations() == 1);
    }
}
