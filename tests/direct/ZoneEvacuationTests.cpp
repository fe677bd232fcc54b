#include "direct/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <set>

using namespace support;

namespace {

// Three upstreams of one service in each of the zones a, b and c.
struct EvacuationFixture : ForwarderFixture {
    EvacuationFixture()
    {
        for (std::uint64_t id = 1; id <= 9; ++id)
            add(id, "booking", id <= 3 ? "a" : id <= 6 ? "b" : "c");
    }
    std::string zoneOf(const ForwardDecision& decision) const
    {
        const auto* record = directory.find(decision.instance);
        return record ? record->report.zone : "";
    }
    // Zones that get the next 40 flows. Their upstreams don't answer, so that all zones in use get some.
    std::set<std::string> openedZones()
    {
        std::set<std::string> zones;
        for (int n = 0; n < 40; ++n)
            zones.insert(zoneOf(handle(opening())));
        return zones;
    }
};

using Zones = std::set<std::string>;

} // namespace

TEST_SUITE("direct")
{
    TEST_CASE_FIXTURE(EvacuationFixture, "the upstreams of an evacuated zone")
    {
        const auto opening = this->opening();
        const auto open = handle(opening);
        REQUIRE(zoneOf(open) == "a");
        handle(dataOf(opening, open.token));
        const auto unanswered = this->opening();
        REQUIRE(zoneOf(handle(unanswered)) == "a");
        REQUIRE(openedZones() == Zones { "a", "b", "c" });
        REQUIRE(forwarder.setEvacuations({ 1, { "a" } }));

        // Guards against an index of upstreams that is built only when the directory changes.
        SUBCASE("get no new flows from the next packet on")
        {
            CHECK(openedZones() == Zones { "b", "c" });
        }
        SUBCASE("get none either when they join or report after the order")
        {
            add(10, "booking", "a");
            setState(2, InstanceState::Draining);
            setState(2, InstanceState::Ready);
            CHECK(openedZones() == Zones { "b", "c" });
        }
        // Guards against resets of open flows and packets that reach another upstream.
        SUBCASE("keep their open flows, also at a balancer that hasn't seen them before")
        {
            auto data = dataOf(opening, open.token, 1000);
            for (const std::uint16_t port : { opening.flow.caller.port, std::uint16_t { 999 } }) {
                data.flow.caller.port = port;
                const auto decision = handle(data);
                CHECK(decision.action == ForwardAction::Forward);
                CHECK(decision.reason == ForwardReason::OpenFlow);
                CHECK(decision.instance == open.instance);
            }
            CHECK(forwarder.takeLostFlows(now += 1s).empty());
        }
        SUBCASE("get no retransmitted opening packet")
        {
            auto copy = unanswered;
            copy.acknowledged = 1;
            now += 200ms;
            CHECK(zoneOf(handle(copy)) != "a");
        }
        SUBCASE("get flows again once the order is revoked")
        {
            CHECK(forwarder.setEvacuations({ 2, {} }));
            CHECK(openedZones() == Zones { "a", "b", "c" });
        }
        // Guards against flows in the zone because an update was late.
        SUBCASE("stay without new flows when an older set arrives")
        {
            CHECK_FALSE(forwarder.setEvacuations({ 1, {} }));
            CHECK_FALSE(forwarder.setEvacuations({ 0, {} }));
            CHECK(openedZones() == Zones { "b", "c" });
        }
    }

    TEST_CASE_FIXTURE(EvacuationFixture, "when all zones with ready upstreams of a service are evacuated")
    {
        add(20, "archive", "d");
        for (std::uint64_t id = 4; id <= 6; ++id)
            setState(id, InstanceState::Draining);
        forwarder.setEvacuations({ 1, { "a", "c" } });

        // Guards against callers that wait for a reply that can't come.
        SUBCASE("opening packets are reset at once, and never held")
        {
            const auto decision = handle(opening());
            CHECK(decision.action == ForwardAction::Reset);
            CHECK(decision.reason == ForwardReason::ZoneEvacuated);
            CHECK(nameOf(decision.reason) == "zone_evacuated");
            CHECK_FALSE(mayBecomeForwardable(decision.reason, false));
            CHECK_FALSE(mayBecomeForwardable(decision.reason, true));
            CHECK(forwarder.count(ForwardReason::ZoneEvacuated) == 1);
        }
        SUBCASE("other services get their flows")
        {
            CHECK(zoneOf(handle(opening(uploadAddress))) == "d");
        }
        SUBCASE("a service without ready upstreams has a reason of its own")
        {
            for (std::uint64_t id : { 1, 2, 3, 7, 8, 9 })
                setState(id, InstanceState::Draining);
            CHECK(handle(opening()).reason == ForwardReason::NoUpstream);
        }
        SUBCASE("a single upstream elsewhere gets all new flows")
        {
            setState(5, InstanceState::Ready);
            CHECK(openedZones() == Zones { "b" });
        }
    }

    // Guards against a balancer that gives up all zones in use because an evacuated one seems to be left.
    TEST_CASE_FIXTURE(EvacuationFixture, "an evacuated zone doesn't count as one that could still serve")
    {
        forwarder.setEvacuations({ 1, { "c" } });
        std::size_t suspected = 0;
        for (int n = 0; n < 60; ++n) {
            CHECK(zoneOf(handle(opening())) != "c");
            suspected = std::max(suspected, forwarder.zoneOutages().suspectedZones());
            now += 10ms;
        }
        CHECK(suspected == 1);
    }

    // Guards against orders that have an effect where they should have none.
    TEST_CASE("without an evacuated zone every decision is the same as before the first order")
    {
        EvacuationFixture untouched;
        const auto expected = decisionsOn(untouched);
        for (const auto it :
            { ForwardReason::Placed, ForwardReason::PlacedAgain, ForwardReason::OpenFlow, ForwardReason::LateCopy })
            CHECK(untouched.forwarder.count(it) >= 50);
        EvacuationFixture revoked;
        revoked.forwarder.setEvacuations({ 1, { "a" } });
        revoked.forwarder.setEvacuations({ 2, {} });
        CHECK(decisionsOn(revoked) == expected);
        EvacuationFixture elsewhere;
        elsewhere.forwarder.setEvacuations({ 1, { "z" } });
        CHECK(decisionsOn(elsewhere) == expected);
    }
}
