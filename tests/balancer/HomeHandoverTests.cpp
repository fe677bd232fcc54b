#include "ibisgw/balancer/HomeHandover.h"
#include "support/RecordingOutput.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;
using packet::Packet;
using packet::PacketType;

namespace {

constexpr core::TimePoint start { 24h };
constexpr core::NodeId self { 1 };
constexpr core::NodeId before { 2 };

// A balancer that becomes the home of all flows while the home before it leaves.
struct Fixture {
    explicit Fixture(double relaysPerSecond = 1000)
        : relay(homes, { relaysPerSecond, relaysPerSecond }, counters)
    {
        homes.setMembers({ { before, "a" } }, start);
        setMembers({ { self, "a" }, { before, "a", true } }, start + 1s);
    }

    void setMembers(std::vector<flow::RingMember> members, core::TimePoint now)
    {
        homes.setMembers(std::move(members), now);
        handover.homesChanged();
    }

    bool ask(PacketType type, core::TimePoint now, std::uint8_t hops = 0)
    {
        Packet packet;
        packet.type = type;
        packet.flow = { { 1, 50000 }, { 2, 443 } };
        packet.relayHops = hops;
        return handover.relay(packet, now, output);
    }

    balancer::BalancerCounters counters;
    balancer::FlowHomes homes { { self, "a" }, [](const auto&) { return nullptr; } };
    balancer::PeerRelay relay;
    balancer::HomeHandover handover { homes, relay };
    support::RecordingOutput output;
};

} // namespace

TEST_SUITE("balancer")
{
    TEST_CASE("questions to previous homes")
    {
        Fixture fixture;
        // Guards against quiet flows that break because their home changed before their next packet.
        SUBCASE("a leaving home is asked about open flows as long as the ring retains it, about opens for 5 s")
        {
            CHECK(fixture.ask(PacketType::Open, start + 2s));
            CHECK_FALSE(fixture.ask(PacketType::Open, start + 10s));
            CHECK(fixture.ask(PacketType::Data, start + 50s));
            CHECK_FALSE(fixture.ask(PacketType::Data, start + 5min));
            REQUIRE(fixture.output.toPeers.size() == 2);
            CHECK(fixture.output.toPeers.back().first == before);
        }
        // Guards against packets that wait for a balancer that has ended.
        SUBCASE("a dead home is not asked about open flows, but about opens: it may be cut off and alive")
        {
            fixture.setMembers({ { self, "a" } }, start + 3s);
            CHECK_FALSE(fixture.ask(PacketType::Data, start + 4s));
            CHECK(fixture.ask(PacketType::Open, start + 4s));
        }
    }

    // Guards against questions that exceed what balancers may cost each other.
    TEST_CASE("questions to previous homes count against the relay budget")
    {
        Fixture fixture(2);
        for (int n = 0; n < 5; ++n)
            CHECK(fixture.ask(PacketType::Data, start + 2s));
        CHECK(fixture.output.toPeers.size() == 2);
        CHECK(fixture.counters.droppedRelays == 3);
    }

    // Guards against a second upstream for a flow that its home asks about while the previous home restarts.
    TEST_CASE("a balancer that has not joined its group drops questions")
    {
        balancer::BalancerCounters counters;
        balancer::FlowHomes homes { { self, "a" }, [](const auto&) { return nullptr; } };
        balancer::PeerRelay relay { homes, { 1000, 1000 }, counters };
        balancer::HomeHandover handover { homes, relay };
        support::RecordingOutput output;
        Packet packet;
        packet.flow = { { 1, 50000 }, { 2, 443 } };
        packet.relayHops = 16;
        CHECK(handover.relay(packet, start, output));
        CHECK(output.toPeers.empty());
    }

    // Guards against a flow that is placed both by its home and by a balancer that was the home when it asked.
    TEST_CASE("an answer that arrives after the home has changed goes to the present home")
    {
        Fixture fixture;
        fixture.setMembers({ { self, "a", true }, { before, "a" } }, start + 2s);
        CHECK(fixture.ask(PacketType::Open, start + 3s, 17));
        REQUIRE(fixture.output.toPeers.size() == 1);
        CHECK(fixture.output.toPeers.back().first == before);
        CHECK(fixture.output.toPeers.back().second.relayHops == 1);
    }
}
