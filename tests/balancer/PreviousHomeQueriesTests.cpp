#include "ibisgw/balancer/PreviousHomeQueries.h"
#include "support/RecordingOutput.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;
using packet::Packet;
using packet::PacketType;

namespace {

constexpr core::TimePoint start { 24h };
constexpr core::NodeId self { 1 };
constexpr core::NodeId previousHome { 2 };

// A balancer that becomes the home of all flows while the previous home leaves the group.
struct Fixture {
    explicit Fixture(double relaysPerSecond = 1000)
        : relay(homes, { relaysPerSecond, relaysPerSecond }, counters)
    {
        homes.setMembers({ { previousHome, "a" } }, start);
        setMembers({ { self, "a" }, { previousHome, "a", true } }, start + 1s);
    }

    void setMembers(std::vector<flow::RingMember> members, core::TimePoint now)
    {
        homes.setMembers(std::move(members), now);
        queries.homesChanged();
    }

    bool query(PacketType type, core::TimePoint now, std::uint8_t hops = 0)
    {
        Packet packet;
        packet.type = type;
        packet.flow = { { 1, 50000 }, { 2, 443 } };
        packet.relayHops = hops;
        return queries.relay(packet, now, output);
    }

    balancer::BalancerCounters counters;
    balancer::FlowHomes homes { { self, "a" }, [](const auto&) { return nullptr; } };
    balancer::PeerRelay relay;
    balancer::PreviousHomeQueries queries { homes, relay };
    support::RecordingOutput output;
};

} // namespace

TEST_SUITE("balancer")
{
    TEST_CASE("queries to previous homes depend on the packet type and on whether the balancer runs")
    {
        Fixture fixture;
        // Guards against flows that break because their home changed between two packets.
        SUBCASE("a leaving home is queried about open flows while the ring retains it and about opens for 5 s")
        {
            CHECK(fixture.query(PacketType::Open, start + 2s));
            CHECK_FALSE(fixture.query(PacketType::Open, start + 10s));
            CHECK(fixture.query(PacketType::Data, start + 50s));
            CHECK_FALSE(fixture.query(PacketType::Data, start + 5min));
            REQUIRE(fixture.output.toPeers.size() == 2);
            CHECK(fixture.output.toPeers.back().first == previousHome);
        }
        // Guards against packets that are sent to a balancer that has stopped instead of to an upstream.
        SUBCASE("a home that left the ring is queried about opens only, since it may be running behind a partition")
        {
            fixture.setMembers({ { self, "a" } }, start + 3s);
            CHECK_FALSE(fixture.query(PacketType::Data, start + 4s));
            CHECK(fixture.query(PacketType::Open, start + 4s));
        }
    }

    // Guards against queries that overload other balancers.
    TEST_CASE("queries to previous homes count against the relay budget")
    {
        Fixture fixture(2);
        for (int n = 0; n < 5; ++n)
            CHECK(fixture.query(PacketType::Data, start + 2s));
        CHECK(fixture.output.toPeers.size() == 2);
        CHECK(fixture.counters.droppedRelays == 3);
    }

    // Guards against a second upstream for a flow that a restarted previous home places while its ring holds only
    // itself.
    TEST_CASE("a balancer that has not joined its group drops queries")
    {
        balancer::BalancerCounters counters;
        balancer::FlowHomes homes { { self, "a" }, [](const auto&) { return nullptr; } };
        balancer::PeerRelay relay { homes, { 1000, 1000 }, counters };
        balancer::PreviousHomeQueries queries { homes, relay };
        support::RecordingOutput output;
        Packet packet;
        packet.flow = { { 1, 50000 }, { 2, 443 } };
        packet.relayHops = 16;
        CHECK(queries.relay(packet, start, output));
        CHECK(output.toPeers.empty());
    }

    // Guards against a flow that is placed twice: by its present home, and by a balancer that was the home only when it
    // sent the query.
    TEST_CASE("a reply that arrives after the home has changed is relayed to the present home")
    {
        Fixture fixture;
        fixture.setMembers({ { self, "a", true }, { previousHome, "a" } }, start + 2s);
        CHECK(fixture.query(PacketType::Open, start + 3s, 17));
        REQUIRE(fixture.output.toPeers.size() == 1);
        CHECK(fixture.output.toPeers.back().first == previousHome);
        CHECK(fixture.output.toPeers.back().second.relayHops == 1);
    }
}
