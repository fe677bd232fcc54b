#include "direct/ForwarderFixture.h"

#include <doctest/doctest.h>

#include <map>

using namespace support;

TEST_SUITE("direct")
{
    TEST_CASE("opening a flow")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        it.add(2, "archive");

        SUBCASE("the opening packet goes to an upstream of the route's service, with a token")
        {
            const auto decision = it.handle(it.opening());
            CHECK(decision.action == ForwardAction::Forward);
            CHECK(decision.instance.value == 1);
            CHECK(decision.token != 0);
            CHECK(it.handle(it.opening(uploadAddress)).instance.value == 2);
        }
        SUBCASE("a flow to an address without a route is reset")
        {
            const auto decision = it.handle(it.opening({ 0xc6120009, 1 }));
            CHECK(decision.action == ForwardAction::Reset);
            CHECK(decision.reason == ForwardReason::NoRoute);
        }
        SUBCASE("a flow to a service without ready upstreams is reset")
        {
            it.setState(1, InstanceState::Draining);
            const auto decision = it.handle(it.opening());
            CHECK(decision.action == ForwardAction::Reset);
            CHECK(decision.reason == ForwardReason::NoUpstream);
        }
        SUBCASE("a retransmitted opening packet goes to another upstream, because the first one didn't respond")
        {
            it.add(3, "booking");
            auto segment = it.opening();
            const auto first = it.handle(segment);
            segment.acknowledged = 1;
            it.now += 200ms;
            const auto second = it.handle(segment);
            CHECK(second.reason == ForwardReason::PlacedAgain);
            CHECK(second.instance != first.instance);
        }
        SUBCASE("a retransmitted opening packet of an open flow is dropped, since it would open the flow twice")
        {
            auto segment = it.opening();
            const auto first = it.handle(segment);
            it.handle(ForwarderFixture::dataOf(segment, first.token));
            segment.acknowledged = 1;
            CHECK(it.handle(segment).action == ForwardAction::Drop);
        }
    }

    // Guards against a list of candidates that is older than the directory: a flow would go to an upstream that has
    // left or that has come back with another service.
    // Guards against freed memory that is read, and flows that are placed, for an upstream that has been overdue for so
    // long that the directory has dropped its record.
    TEST_CASE("no flow is placed on an upstream that the directory has dropped")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        it.directory.setOverdue({ 1 }, 1000, 1, true, it.now);
        CHECK(it.handle(it.opening()).action == ForwardAction::Forward);
        it.directory.expire(it.now += 121s);
        REQUIRE(it.directory.records().empty());
        CHECK(it.handle(it.opening()).reason == ForwardReason::NoUpstream);
    }

    // Guards against open flows that are lost, and callers that wait in vain, while a balancer must not use its
    // configuration for new flows.
    TEST_CASE("a balancer that may not place flows resets opening packets and continues open flows")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        const auto opening = it.opening();
        const auto token = it.handle(opening).token;
        it.forwarder.setPlacing(false);
        const auto refused = it.handle(it.opening());
        CHECK(refused.action == ForwardAction::Reset);
        CHECK(refused.reason == ForwardReason::ConfigurationUnconfirmed);
        CHECK(it.handle(ForwarderFixture::dataOf(opening, token)).action == ForwardAction::Forward);
        it.forwarder.setPlacing(true);
        CHECK(it.handle(it.opening()).action == ForwardAction::Forward);
    }

    TEST_CASE("each placement knows the newest state of the upstreams")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        it.add(2, "archive");
        CHECK(it.handle(it.opening()).instance.value == 1);

        SUBCASE("an upstream that drains gets no new flow")
        {
            it.setState(1, InstanceState::Draining);
            CHECK(it.handle(it.opening()).reason == ForwardReason::NoUpstream);
        }
        SUBCASE("an upstream that restarts with another service gets no flow of the earlier one")
        {
            auto restarted = it.directory.find({ 1 })->report;
            restarted.incarnation += 1;
            restarted.service = "archive";
            it.directory.apply(restarted, {}, it.now);
            CHECK(it.handle(it.opening()).reason == ForwardReason::NoUpstream);
        }
        SUBCASE("an upstream that has joined is a candidate at once")
        {
            it.add(3, "booking");
            CHECK(it.handle(it.opening()).candidates == 2);
        }
        SUBCASE("an upstream whose record was removed leaves no trace")
        {
            it.setState(1, InstanceState::Gone);
            it.directory.expire(it.now += 10min);
            CHECK(it.directory.find({ 1 }) == nullptr);
            CHECK(it.handle(it.opening()).reason == ForwardReason::NoUpstream);
        }
    }

    TEST_CASE("packets of an open flow")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        it.add(2, "booking");
        const auto segment = it.opening();
        const auto opened = it.handle(segment);

        SUBCASE("another balancer forwards them by their token")
        {
            ForwarderFixture other;
            other.add(1, "booking");
            other.add(2, "booking");
            const auto decision = other.handle(ForwarderFixture::dataOf(segment, opened.token));
            CHECK(decision.action == ForwardAction::Forward);
            CHECK(decision.instance == opened.instance);
        }
        SUBCASE("they still go to the upstream while it drains")
        {
            it.setState(opened.instance.value, InstanceState::Draining);
            CHECK(it.handle(ForwarderFixture::dataOf(segment, opened.token)).instance == opened.instance);
        }
        SUBCASE("they go to the first upstream when a second one has also responded to the opening packet")
        {
            it.handle(ForwarderFixture::dataOf(segment, opened.token));
            const auto otherId = opened.instance.value == 1 ? 2 : 1;
            const auto otherToken = it.directory.find({ static_cast<std::uint64_t>(otherId) })->token;
            CHECK(it.handle(ForwarderFixture::dataOf(segment, otherToken)).instance == opened.instance);
        }
        SUBCASE("a packet with an unknown token is dropped, neither placed nor reset")
        {
            const auto decision = it.handle(ForwarderFixture::dataOf(it.opening(), 0x12345678));
            CHECK(decision.action == ForwardAction::Drop);
            CHECK(decision.reason == ForwardReason::UnknownToken);
        }
        SUBCASE("the flow of an upstream that has left is reset, so that the caller doesn't wait until its deadline")
        {
            it.setState(opened.instance.value, InstanceState::Gone);
            CHECK(it.handle(ForwarderFixture::dataOf(segment, opened.token)).action == ForwardAction::Drop);
            it.now += 1s;
            CHECK(it.handle(ForwarderFixture::dataOf(segment, opened.token)).action == ForwardAction::Reset);
        }
        SUBCASE("the flow of an upstream whose address has been reused is reset at once, since its process has ended")
        {
            // Guards against callers that retransmit their request until the deadline (found with `ibisgw explain`).
            auto successor = it.directory.find(opened.instance)->report;
            successor.id = { 99 };
            successor.incarnation += 5000;
            successor.service = "archive";
            it.directory.apply(successor, {}, it.now);
            CHECK(it.handle(ForwarderFixture::dataOf(segment, opened.token)).action == ForwardAction::Reset);
        }
        SUBCASE("a token never resolves to another incarnation of the same identifier")
        {
            auto restarted = it.directory.find(opened.instance)->report;
            restarted.incarnation += 1;
            restarted.sequence = 1;
            restarted.service = "archive";
            it.directory.apply(restarted, {}, it.now);
            it.now += 1s;
            CHECK(it.handle(ForwarderFixture::dataOf(segment, opened.token)).action == ForwardAction::Reset);
        }
    }

    TEST_CASE("work in progress is estimated from the packets of callers")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        const auto segment = it.opening();
        const auto opened = it.handle(segment);
        const auto inProgress = [&] { return it.forwarder.loadOf({ 1 })->inProgress(); };
        CHECK(inProgress() == 1);
        it.handle(ForwarderFixture::dataOf(segment, opened.token, 500));
        CHECK(inProgress() == 1);

        SUBCASE("it ends when the caller acknowledges response data")
        {
            auto acknowledgement = ForwarderFixture::dataOf(segment, opened.token, 900);
            acknowledgement.payloadBytes = 0;
            it.handle(acknowledgement);
            CHECK(inProgress() == 0);
            it.handle(ForwarderFixture::dataOf(segment, opened.token, 900));
            CHECK(inProgress() == 1);
        }
        SUBCASE("it ends after the latency objective if no packet shows its end")
        {
            it.now += 151ms;
            it.forwarder.tick(it.now);
            CHECK(inProgress() == 0);
        }
    }

    // Guards against counting downloads as finished after the first of many acknowledgements: upstreams that are still
    // sending then appear to be idle and get more flows.
    TEST_CASE("work on a long response lasts as long as the caller acknowledges more of it")
    {
        ForwarderFixture it;
        it.add(1, "archive");
        const auto segment = it.opening(downloadAddress);
        const auto opened = it.handle(segment);
        it.handle(ForwarderFixture::dataOf(segment, opened.token, 500));
        const auto inProgress = [&] { return it.forwarder.loadOf({ 1 })->inProgress(); };
        auto acknowledgement = ForwarderFixture::dataOf(segment, opened.token, 500);
        acknowledgement.payloadBytes = 0;
        const auto acknowledge = [&] {
            acknowledgement.acknowledged += 2400;
            it.now += 10ms;
            it.forwarder.tick(it.now);
            return it.handle(acknowledgement);
        };

        CHECK(acknowledge().responseTime == core::Duration(10ms));
        SUBCASE("from the first acknowledgement to the last, even beyond the latency objective")
        {
            for (int n = 0; n < 60; ++n) {
                CHECK(!acknowledge().responseTime);
                CHECK(inProgress() == 1);
            }
        }
        SUBCASE("the response time of the next request on the flow counts from its own start")
        {
            acknowledge();
            auto request = ForwarderFixture::dataOf(segment, opened.token, acknowledgement.acknowledged);
            request.sequence += 100;
            it.now += 10ms;
            CHECK(it.handle(request).startsRequest);
            CHECK(inProgress() == 1);
            it.forwarder.tick(it.now += 200ms);
            CHECK(inProgress() == 1);
            it.now -= 10ms;
            CHECK(acknowledge().responseTime == core::Duration(200ms));
        }
        SUBCASE("it ends when the caller closes the flow")
        {
            acknowledge();
            acknowledgement.isFinishing = true;
            acknowledge();
            CHECK(inProgress() == 0);
        }
        SUBCASE("it ends 100 ms after the last acknowledgement, while the flow stays open for another request")
        {
            acknowledge();
            it.now += 101ms;
            it.forwarder.tick(it.now);
            CHECK(inProgress() == 0);
            it.handle(ForwarderFixture::dataOf(segment, opened.token, acknowledgement.acknowledged));
            CHECK(inProgress() == 1);
            CHECK(acknowledge().responseTime == core::Duration(10ms));
        }
    }

    // Guards against missing latency metrics, which are the only place where operators see slow upstreams.
    TEST_CASE("a balancer measures the time to open a flow and the response time")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        const auto segment = it.opening();
        const auto opened = it.handle(segment);
        CHECK(!opened.openTime);

        it.now += 7ms;
        const auto request = it.handle(ForwarderFixture::dataOf(segment, opened.token, 500));
        CHECK(request.openTime == core::Duration(7ms));
        CHECK(!request.responseTime);

        it.now += 30ms;
        auto acknowledgement = ForwarderFixture::dataOf(segment, opened.token, 900);
        acknowledgement.payloadBytes = 0;
        const auto answer = it.handle(acknowledgement);
        CHECK(!answer.openTime);
        CHECK(answer.responseTime == core::Duration(37ms));

        SUBCASE("further acknowledgements of the same response aren't measured")
        {
            acknowledgement.acknowledged = 1800;
            CHECK(!it.handle(acknowledgement).responseTime);
        }
        SUBCASE("the response time of a later request on the flow counts from its own start")
        {
            it.now += 2s;
            it.handle(ForwarderFixture::dataOf(segment, opened.token, 900));
            it.now += 20ms;
            acknowledgement.acknowledged = 2000;
            CHECK(it.handle(acknowledgement).responseTime == core::Duration(20ms));
        }
        SUBCASE("a flow that this balancer has no record of opening has no open time")
        {
            it.forwarder.tick(it.now += 61s);
            CHECK(!it.handle(ForwarderFixture::dataOf(segment, opened.token, 900)).openTime);
        }
    }

    // Guards against measuring only fast responses: the work of a slow upstream counts as ended after the objective.
    TEST_CASE("the speed of an upstream is derived from the acknowledgements of its callers")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        it.add(2, "booking");
        const auto serve = [&](core::Duration responseTime, bool acknowledgesWithNextRequest) {
            const auto segment = it.opening();
            const auto opened = it.handle(segment);
            it.handle(ForwarderFixture::dataOf(segment, opened.token, 500));
            it.now += opened.instance.value == 1 ? responseTime : core::Duration(20ms);
            it.forwarder.tick(it.now);
            auto acknowledgement = ForwarderFixture::dataOf(segment, opened.token, 900);
            acknowledgement.sequence += 100;
            acknowledgement.payloadBytes = acknowledgesWithNextRequest ? 100 : 0;
            it.handle(acknowledgement);
        };
        for (int n = 0; n < 100; ++n)
            serve(20ms, false);

        SUBCASE("a response after the latency objective counts, too")
        {
            for (int n = 0; n < 20; ++n)
                serve(400ms, false);
            CHECK(it.forwarder.loadOf({ 1 })->slowdown(it.now) > 2);
            CHECK(it.forwarder.loadOf({ 2 })->slowdown(it.now) < 1.5);
        }
        // Guards against a table that packets with a valid token and any service address could fill.
        SUBCASE("packets to an address without a route say nothing")
        {
            auto segment = it.opening({ 0xc6120009, 1 });
            const auto token = it.directory.find({ 1 })->token;
            for (int n = 0; n < 60; ++n) {
                segment.flow.caller.port += 1;
                it.handle(ForwarderFixture::dataOf(segment, token, 500));
                it.now += n < 40 ? 20ms : 400ms;
                auto acknowledgement = ForwarderFixture::dataOf(segment, token, 900);
                acknowledgement.payloadBytes = 0;
                it.handle(acknowledgement);
            }
            CHECK(it.forwarder.loadOf({ 1 })->slowdown(it.now) < 1.5);
        }
        SUBCASE("an acknowledgement that comes with the caller's next request doesn't show when the response came")
        {
            for (int n = 0; n < 20; ++n)
                serve(400ms, true);
            CHECK(it.forwarder.loadOf({ 1 })->slowdown(it.now) < 1.5);
        }
    }

    TEST_CASE("a burst is spread over the upstreams of the balancer's zone, and of other zones once those are busy")
    {
        // Guards against requests that queue at a few upstreams while others are idle.
        ForwarderFixture it;
        for (std::uint64_t id = 1; id <= 5; ++id)
            it.add(id, "booking", "a");
        for (std::uint64_t id = 6; id <= 10; ++id)
            it.add(id, "booking", "b");
        std::map<std::uint64_t, int> counts;
        for (int n = 0; n < 30; ++n)
            ++counts[it.handle(it.opening()).instance.value];
        for (const auto& entry : counts) {
            CAPTURE(entry.first);
            CHECK(entry.second <= 4);
            CHECK(entry.second >= 2);
        }
        CHECK(counts.size() == 10);
    }

    TEST_CASE("an upstream gets less work during its cold start")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        it.add(2, "booking", "a", 2s);
        int cold = 0;
        for (int n = 0; n < 40; ++n)
            cold += it.handle(it.opening()).instance.value == 2 ? 1 : 0;
        CHECK(cold >= 10);
        CHECK(cold <= 17);
    }

    TEST_CASE("an upstream that leaves opening packets unanswered is avoided")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        it.add(2, "booking", "b");
        // The callers of two flows retransmit their opening packets, which went to upstream 1.
        for (int n = 0; n < 2; ++n) {
            auto segment = it.opening();
            REQUIRE(it.handle(segment).instance.value == 1);
            segment.acknowledged = 1;
            it.now += 200ms;
            it.forwarder.tick(it.now);
            REQUIRE(it.handle(segment).instance.value == 2);
            it.now += 3s;
            it.forwarder.tick(it.now);
            if (n == 0)
                continue;
            it.now -= 2900ms;
            CHECK(it.handle(it.opening()).instance.value == 2);
        }
    }

    // Guards against an upstream that has ended and whose VM refuses flows at once: the upstream appears to be idle, so
    // it got the retries of callers until they gave up (run trouble-3 of gravur-ch, request 82b1d2dfa96817d8).
    TEST_CASE("an upstream that refuses flows at once doesn't attract retries")
    {
        constexpr std::uint64_t dead = 1;
        constexpr int callers = 40;
        ForwarderFixture it;
        for (std::uint64_t id = 1; id <= 4; ++id)
            it.add(id, "booking");
        const auto openFrom = [&](std::uint32_t caller) {
            auto segment = it.opening();
            segment.flow.caller.address = caller;
            const auto decision = it.handle(segment);
            it.now += 10ms;
            if (decision.instance.value != dead)
                it.handle(ForwarderFixture::dataOf(segment, decision.token));
            return decision.instance.value;
        };

        SUBCASE("the next flow of a caller whose open was refused goes to another upstream")
        {
            for (std::uint32_t caller = 1; caller <= callers; ++caller) {
                if (openFrom(caller) == dead)
                    CHECK(openFrom(caller) != dead);
            }
        }
        SUBCASE("flows of other callers avoid the upstream until it is tried again")
        {
            int refused = 0;
            const auto start = it.now;
            for (std::uint32_t caller = 1; it.now < start + 1s; ++caller) {
                refused += openFrom(caller) == dead ? 1 : 0;
                it.forwarder.tick(it.now);
            }
            // Without this, a quarter of the 100 opens would be refused.
            CHECK(refused <= 5);
            while (openFrom(1000) != dead && it.now < start + 3s)
                it.forwarder.tick(it.now);
            CHECK(it.now < start + 3s);
        }
        SUBCASE("progress of an open flow ends the avoidance")
        {
            auto segment = it.opening();
            const auto opened = it.handle(segment);
            it.handle(ForwarderFixture::dataOf(segment, opened.token, 500));
            auto other = it.opening();
            while (it.handle(other).instance != opened.instance)
                other = it.opening();
            it.now += 150ms;
            CHECK(it.forwarder.loadOf(opened.instance)->isUnconfirmed(it.now));
            it.handle(ForwarderFixture::dataOf(segment, opened.token, 900));
            CHECK(!it.forwarder.loadOf(opened.instance)->isUnconfirmed(it.now));
        }
        SUBCASE("flows are still placed when all upstreams are suspect")
        {
            for (std::uint64_t id = 2; id <= 4; ++id)
                it.setState(id, InstanceState::Gone);
            CHECK(openFrom(1) == dead);
            CHECK(openFrom(1) == dead);
        }
    }

    TEST_CASE("configurations")
    {
        ForwarderFixture it;
        it.add(1, "booking");
        SUBCASE("an equal or older version never replaces the one in force")
        {
            CHECK(it.forwarder.apply(configurationOf(7), it.now));
            CHECK_FALSE(it.forwarder.apply(configurationOf(7), it.now));
            CHECK_FALSE(it.forwarder.apply(configurationOf(6), it.now));
            CHECK(it.forwarder.version() == 7);
        }
        SUBCASE("an open flow stays on its upstream when the configuration changes")
        {
            const auto segment = it.opening();
            const auto opened = it.handle(segment);
            it.handle(ForwarderFixture::dataOf(segment, opened.token));
            auto other = configurationOf(2);
            other->routes[0].targets = { { "archive", 1 } };
            it.forwarder.apply(other, it.now);
            CHECK(it.handle(ForwarderFixture::dataOf(segment, opened.token)).instance == opened.instance);
            CHECK(it.handle(it.opening()).action == ForwardAction::Reset);
        }
        SUBCASE("before the first configuration packets are dropped, not reset, because the routes are unknown")
        {
            core::PcgRandomSource random { 1 };
            FlowForwarder starting { { "a" }, it.directory, it.selector, random };
            CHECK(starting.handle(it.opening(), it.now).action == ForwardAction::Drop);
        }
    }
}
