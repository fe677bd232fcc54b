#include "direct/Forwarding.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace support;

namespace {

// Two upstreams and a flow whose caller has its answer and waits for nothing.
struct IdleFlow : Forwarding {
    FlowSegment segment;
    ForwardDecision opened;

    IdleFlow()
    {
        add(1, "booking");
        add(2, "booking");
        segment = opening();
        opened = handle(segment);
        handle(dataOf(segment, opened.token, 500));
        auto acknowledgement = dataOf(segment, opened.token, 900);
        acknowledgement.payloadBytes = 0;
        handle(acknowledgement);
    }
    void loseUpstream()
    {
        auto& responses = forwarder.responses();
        responses.noteRepeated(opened.instance, now);
        for (int n = 0; n < 2; ++n) {
            responses.takeProbes(now);
            responses.noteProbe(opened.instance, ProbeResult::NoAnswer, now += 125ms);
        }
    }
    std::size_t takeLost(core::Duration after = {})
    {
        now += after;
        forwarder.tick(now);
        return forwarder.takeLostFlows(now).size();
    }
};

} // namespace

TEST_SUITE("direct")
{
    // Guards against requests that are lost for good: a caller with an open flow to an upstream that has ended sends
    // its next request on it, and one that is not idempotent must not be repeated (61 failed so on trouble-1 of
    // gnsm-gate).
    TEST_CASE("callers of idle flows are told that their upstream is lost before they send a request")
    {
        IdleFlow it;
        CHECK(it.takeLost() == 0);

        SUBCASE("when it answers neither callers nor probes")
        {
            it.loseUpstream();
            const auto lost = it.forwarder.takeLostFlows(it.now);
            REQUIRE(lost.size() == 1);
            CHECK(lost[0].flow == it.segment.flow);
            // A caller takes a reset only near what it has acknowledged.
            CHECK(lost[0].acknowledged == 900);
            CHECK(it.takeLost(250ms) == 0);
        }
        SUBCASE("when another start has taken its address")
        {
            auto successor = it.directory.find(it.opened.instance)->report;
            successor.id = { 99 };
            successor.incarnation += 5000;
            it.directory.apply(successor, {}, it.now);
            CHECK(it.takeLost() == 1);
        }
        SUBCASE("a moment after its farewell, when its process has ended")
        {
            it.leave(it.opened.instance.value, InstanceState::Gone);
            CHECK(it.takeLost() == 0);
            CHECK(it.takeLost(250ms) == 0);
            CHECK(it.takeLost(300ms) == 1);
        }
        SUBCASE("not while a request is in progress: the answer may come past us")
        {
            it.handle(Forwarding::dataOf(it.segment, it.opened.token, 900));
            it.loseUpstream();
            it.now -= 200ms;
            CHECK(it.takeLost() == 0);
            SUBCASE("and once its time is over, it is told as well")
            {
                it.now += 200ms;
                CHECK(it.takeLost(250ms) == 1);
            }
        }
        SUBCASE("at once when a request in progress may be repeated")
        {
            auto configuration = configurationOf(2);
            configuration->routes[0].kind = RouteKind::Idempotent;
            it.forwarder.apply(configuration, it.now);
            const auto request = it.opening();
            const auto placed = it.handle(request);
            it.handle(Forwarding::dataOf(request, placed.token));
            it.opened = placed;
            it.loseUpstream();
            it.now -= 200ms;
            const auto lost = it.forwarder.takeLostFlows(it.now);
            CHECK(std::ranges::find(lost, request.flow, &FlowSegment::flow) != lost.end());
        }
        // Guards against balancers that find out one after the other, each with requests of its own callers.
        SUBCASE("when another balancer has found out: the upstream is probed here without a lost request")
        {
            it.directory.setOverdue(it.opened.instance, 1000, 1, true, it.now);
            it.forwarder.tick(it.now += 10ms);
            auto& responses = it.forwarder.responses();
            REQUIRE(responses.takeProbes(it.now).size() == 1);
            CHECK(it.takeLost() == 0);
            responses.noteProbe(it.opened.instance, ProbeResult::Refused, it.now);
            REQUIRE(responses.takeProbes(it.now).size() == 1);
            responses.noteProbe(it.opened.instance, ProbeResult::Refused, it.now);
            CHECK(it.takeLost() == 1);
        }
        SUBCASE("not because it drains or is overdue")
        {
            it.leave(it.opened.instance.value, InstanceState::Draining);
            it.directory.markOverdue(1s, it.now += 10s);
            CHECK(it.takeLost() == 0);
        }
        SUBCASE("not while the upstream answers others")
        {
            it.loseUpstream();
            it.forwarder.responses().noteProgress(it.opened.instance);
            CHECK(it.takeLost() == 0);
        }
    }
}
