#include "direct/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <algorithm>

using namespace support;

namespace {

// Two upstreams and an open flow without a request in progress: the caller has acknowledged its response.
struct IdleFlow : ForwarderFixture {
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
        responses.noteRetransmission(opened.instance, now);
        for (int n = 0; n < 2; ++n) {
            responses.takeProbes(now);
            responses.noteProbe(opened.instance, ProbeResult::NoAnswer, now += 125ms);
        }
    }
    std::size_t searchLostFlows(core::Duration after = {})
    {
        now += after;
        forwarder.tick(now);
        return forwarder.takeLostFlows(now).size();
    }
};

} // namespace

TEST_SUITE("direct")
{
    // Guards against requests that fail because a caller sends them on an open flow whose upstream has ended; requests
    // that aren't idempotent can't be retried. 61 requests failed this way in run trouble-1 of gnsm-gate.
    TEST_CASE("idle flows of a lost upstream are reset before their callers send a request")
    {
        IdleFlow it;
        CHECK(it.searchLostFlows() == 0);

        SUBCASE("when the upstream responds neither to callers nor to probes")
        {
            it.loseUpstream();
            const auto lost = it.forwarder.takeLostFlows(it.now);
            REQUIRE(lost.size() == 1);
            CHECK(lost[0].flow == it.segment.flow);
            // A caller accepts a reset only near its acknowledgement number.
            CHECK(lost[0].acknowledged == 900);
            CHECK(it.searchLostFlows(250ms) == 0);
        }
        SUBCASE("at once when an upstream that started later has its address")
        {
            auto successor = it.directory.find(it.opened.instance)->report;
            successor.id = { 99 };
            successor.incarnation += 5000;
            it.directory.apply(successor, {}, it.now);
            CHECK(it.searchLostFlows() == 1);
        }
        SUBCASE("500 ms after it has announced its end, when its process has ended")
        {
            it.setState(it.opened.instance.value, InstanceState::Gone);
            CHECK(it.searchLostFlows() == 0);
            CHECK(it.searchLostFlows(250ms) == 0);
            CHECK(it.searchLostFlows(300ms) == 1);
        }
        SUBCASE("not while a request is in progress, since the response doesn't pass the balancer")
        {
            it.handle(ForwarderFixture::dataOf(it.segment, it.opened.token, 900));
            it.loseUpstream();
            it.now -= 200ms;
            CHECK(it.searchLostFlows() == 0);
            SUBCASE("until the expected duration of the request is over")
            {
                it.now += 200ms;
                CHECK(it.searchLostFlows(250ms) == 1);
            }
        }
        SUBCASE("at once when the request in progress is idempotent")
        {
            auto configuration = configurationOf(2);
            configuration->routes[0].kind = RouteKind::Idempotent;
            it.forwarder.apply(configuration, it.now);
            const auto request = it.opening();
            const auto placed = it.handle(request);
            it.handle(ForwarderFixture::dataOf(request, placed.token));
            it.opened = placed;
            it.loseUpstream();
            it.now -= 200ms;
            const auto lost = it.forwarder.takeLostFlows(it.now);
            CHECK(std::ranges::find(lost, request.flow, &FlowSegment::flow) != lost.end());
        }
        // Guards against each balancer detecting the loss only by failed requests of its own callers.
        SUBCASE("when another daemon has marked the upstream overdue and probes by this balancer fail")
        {
            it.directory.setOverdue(it.opened.instance, 1000, 1, true, it.now);
            it.forwarder.tick(it.now += 10ms);
            auto& responses = it.forwarder.responses();
            REQUIRE(responses.takeProbes(it.now).size() == 1);
            CHECK(it.searchLostFlows() == 0);
            responses.noteProbe(it.opened.instance, ProbeResult::Refused, it.now);
            REQUIRE(responses.takeProbes(it.now).size() == 1);
            responses.noteProbe(it.opened.instance, ProbeResult::Refused, it.now);
            CHECK(it.searchLostFlows() == 1);
        }
        SUBCASE("not when the upstream is draining or only overdue")
        {
            it.setState(it.opened.instance.value, InstanceState::Draining);
            it.directory.markOverdue(1s, it.now += 10s);
            CHECK(it.searchLostFlows() == 0);
        }
        SUBCASE("not while other flows of the upstream make progress")
        {
            it.loseUpstream();
            it.forwarder.responses().noteProgress(it.opened.instance);
            CHECK(it.searchLostFlows() == 0);
        }
    }
}
