#include "direct/ForwarderFixture.h"

#include <doctest/doctest.h>

using namespace support;

namespace {

// Upstream 1 is cold for 4 s. The service "booking" allows 20 new requests per second.
struct ColdStartFixture : ForwarderFixture {
    ColdStartLimit& limit = forwarder.coldStarts();
    ReportId report { { 1 }, 1000, 1 };

    ColdStartFixture()
    {
        auto configuration = configurationOf(2);
        configuration->services[0] = { "booking", 20, 4s };
        forwarder.apply(configuration, now);
        add(1, "booking", "a", 4s);
        forwarder.tick(now += 1s);
    }
    // A claim now whose grant arrives after the delay.
    void grantAfter(core::Duration delay, std::uint32_t permits)
    {
        ++report.sequence;
        REQUIRE(limit.claim(report, 7, now));
        now += delay;
        limit.grant(report, 7, permits, now);
    }
    // Number of flows that the upstream gets of 200 callers in this time.
    int openFor(core::Duration time, std::uint64_t id = 1)
    {
        int opened = 0;
        for (int n = 0; n < 200; ++n) {
            opened += handle(opening()).instance.value == id ? 1 : 0;
            now += time / 200;
        }
        return opened;
    }
};

} // namespace

TEST_SUITE("direct")
{
    // Guards against more new requests than a cold upstream can take.
    TEST_CASE_FIXTURE(ColdStartFixture, "a cold upstream of a service with a limit")
    {
        SUBCASE("gets no flow without a permit, and the caller learns it at once")
        {
            const auto decision = handle(opening());
            CHECK(decision.action == ForwardAction::Reset);
            CHECK(nameOf(decision.reason) == "upstream_cold");
            CHECK_FALSE(mayBecomeForwardable(decision.reason, false));
            CHECK(limit.limitedUpstreams() == 1);
        }
        SUBCASE("gets a flow for each permit, evenly over a second")
        {
            grantAfter(0ms, 10);
            CHECK(openFor(500ms) == 5);
            CHECK(openFor(499ms) == 5);
            CHECK(openFor(1s) == 0);
            CHECK(limit.usedPermits() == 10);
        }
        // Guards against permits of several reports that are used in one second.
        SUBCASE("gets fewer flows by a late grant, and none a second after the claim")
        {
            grantAfter(900ms, 10);
            CHECK(openFor(200ms) == 1);
            grantAfter(1s, 10);
            CHECK(openFor(200ms) == 0);
        }
        SUBCASE("gets none by a grant that isn't awaited, belongs to another start or came before a pause")
        {
            limit.grant(report, 7, 10, now);
            REQUIRE(limit.claim(report, 7, now));
            CHECK_FALSE(limit.claim(report, 8, now));
            limit.grant(report, 8, 10, now);
            ++report.incarnation;
            grantAfter(0ms, 10);
            CHECK(openFor(200ms) == 0);
            --report.incarnation;
            grantAfter(0ms, 10);
            limit.discardPermits();
            CHECK(openFor(200ms) == 0);
        }
        SUBCASE("uses a permit for a copy of an opening packet, and none for an open flow")
        {
            grantAfter(0ms, 2);
            const auto first = opening();
            const auto token = handle(first).token;
            CHECK(handle(dataOf(first, token)).reason == ForwardReason::OpenFlow);
            auto copy = opening();
            now += 500ms;
            handle(copy);
            copy.acknowledged = 1;
            now += 200ms;
            // A reset could break the flow, if the upstream has accepted it and its answer is late.
            const auto decision = handle(copy);
            CHECK(decision.reason == ForwardReason::UpstreamCold);
            CHECK(decision.action == ForwardAction::Drop);
            CHECK(handle(dataOf(first, token, 600)).reason == ForwardReason::OpenFlow);
            CHECK(limit.usedPermits() == 2);
        }
        SUBCASE("gets flows without a permit once it is warm")
        {
            now += 3s;
            CHECK(openFor(100ms) == 200);
            forwarder.tick(now);
            const auto changes = limit.takeChanges();
            REQUIRE(changes.size() == 2);
            CHECK(changes[0].isLimited);
            CHECK_FALSE(changes[1].isLimited);
        }
    }

    // Guards against the load of a balancer that doesn't know yet that an upstream was restarted.
    TEST_CASE_FIXTURE(ColdStartFixture, "an upstream that refused a connection counts as cold")
    {
        for (std::uint64_t id = 2; id <= 4; ++id)
            add(id, "booking");
        forwarder.tick(now += 1s);
        forwarder.noteProbe({ 2 }, ProbeResult::Refused, now);
        now += 1ms;
        CHECK(openFor(50ms, 2) == 0);

        SUBCASE("for the time of a cold start")
        {
            now += 4s;
            CHECK(openFor(50ms, 2) > 0);
        }
        SUBCASE("until it reports")
        {
            directory.renew({ 2 }, 1000, 9, now);
            CHECK(openFor(50ms, 2) > 0);
        }
        // Guards against an overload that takes all upstreams out of use.
        SUBCASE("unless a third of the service does")
        {
            forwarder.noteProbe({ 3 }, ProbeResult::Refused, now);
            CHECK(openFor(50ms, 3) > 0);
        }
    }

    // Guards against a limit that has an effect on services without one.
    TEST_CASE("without a limit every decision is the same, also for cold upstreams and with permits")
    {
        const auto decisions = [](double warmUpPerSecond, double otherWarmUpPerSecond, bool hasPermits) {
            ForwarderFixture it;
            auto configuration = configurationOf(2);
            configuration->services = { { "booking", warmUpPerSecond, 4s }, { "archive", otherWarmUpPerSecond, 4s } };
            it.forwarder.apply(configuration, it.now);
            for (std::uint64_t id = 1; id <= 9; ++id)
                it.add(id, "booking", id <= 5 ? "a" : "b", id <= 3 ? 30s : 0s);
            if (hasPermits && it.forwarder.coldStarts().claim({ { 1 }, 1000, 1 }, 7, it.now))
                it.forwarder.coldStarts().grant({ { 1 }, 1000, 1 }, 7, 5, it.now);
            return decisionsOn(it);
        };
        const auto expected = decisions(0, 0, false);
        CHECK(decisions(0, 1, true) == expected);
        CHECK(decisions(1, 0, false) != expected);
    }
}
