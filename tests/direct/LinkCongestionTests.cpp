#include "direct/ForwarderFixture.h"
#include "ibisgw/direct/PacedLink.h"

#include <doctest/doctest.h>

using namespace support;

namespace {

constexpr std::uint64_t linkBytesPerSecond = 250'000;
constexpr std::size_t fullPacket = 1240;

// Passes packets that callers send at once to a slow link, and sends them until the link is idle.
void sendBurst(PacedLink& link, EgressClass egressClass, std::size_t packets, core::TimePoint& now)
{
    for (std::size_t n = 0; n < packets; ++n) {
        if (!link.admit(fullPacket, now))
            link.enqueue({ egressClass, {}, 0, std::vector<std::byte>(fullPacket) }, now);
    }
    while (!link.pacer().isEmpty()) {
        now += 4ms;
        link.tick(now);
        while (link.next(now)) { }
    }
}

// Upstreams of a service in three zones and a balancer whose link was congested a moment ago.
struct CongestedFixture : ForwarderFixture {
    LinkCongestion& congestion { forwarder.congestion() };

    CongestedFixture()
    {
        for (std::uint64_t id = 1; id <= 30; ++id)
            add(id, "booking", id <= 10 ? "a" : id <= 20 ? "b" : "c");
    }
    void congest() { congestion.noteWait(EgressClass::Control, 50ms, now); }
    ForwardDecision openFrom(std::uint32_t caller, std::uint32_t copy = 0)
    {
        auto segment = opening();
        segment.flow.caller.address += caller;
        segment.acknowledged = copy;
        return handle(segment);
    }
    // The caller's packet gets no answer and is sent again.
    FlowSegment repeatRequest()
    {
        const auto segment = opening();
        const auto placed = handle(segment);
        const auto request = dataOf(segment, placed.token);
        handle(request);
        now += 110ms;
        CHECK(handle(request).isRetransmission);
        return request;
    }
    void failProbes()
    {
        for (int n = 0; n < 2; ++n) {
            const auto ids = forwarder.responses().takeProbes(now);
            now += 125ms;
            for (const auto& it : ids)
                forwarder.noteProbe(it, ProbeResult::NoAnswer, now);
        }
    }
    std::size_t unresponsive()
    {
        std::size_t count = 0;
        for (const auto& [id, record] : directory.records())
            count += forwarder.responses().isUnresponsive(id) ? 1 : 0;
        return count;
    }
};

} // namespace

TEST_SUITE("direct")
{
    TEST_CASE("a link is congested")
    {
        LinkCongestion congestion;
        LinkAdmission admission { linkBytesPerSecond };
        core::TimePoint now { 100s };
        PacedLink link({ linkBytesPerSecond }, congestion, admission);

        // Guards against judging normal operation: callers send 16 packets at once.
        SUBCASE("not by a burst of 16 packets")
        {
            sendBurst(link, EgressClass::Interactive, 16, now);
            sendBurst(link, EgressClass::Bulk, 16, now);
            CHECK(!congestion.isCongested(now));
        }
        SUBCASE("by packets that wait, and for 200 ms after that")
        {
            sendBurst(link, EgressClass::Interactive, 60, now);
            CHECK(congestion.isCongested(now));
            CHECK(congestion.isCongested(now + 190ms));
            CHECK(!congestion.isCongested(now + 200ms));
        }
        // Guards against a wait that is seen only once the packet has left: uploads wait behind all others.
        SUBCASE("by a packet that isn't sent at all")
        {
            while (link.admit(fullPacket, now)) { }
            link.enqueue({ EgressClass::Bulk, {}, 0, std::vector<std::byte>(fullPacket) }, now);
            link.tick(now + 120ms);
            CHECK(congestion.isCongested(now + 120ms));
        }
        SUBCASE("when its queue is full")
        {
            sendBurst(link, EgressClass::Bulk, 250, now);
            CHECK(link.pacer().droppedFull() > 0);
            CHECK(congestion.isCongested(now));
            CHECK(congestion.cause() == CongestionCause::Drop);
        }
        SUBCASE("when the process was paused, but not between two ticks")
        {
            congestion.noteActivity(now);
            congestion.noteActivity(now += 90ms);
            CHECK(!congestion.isCongested(now));
            congestion.noteActivity(now += 110ms);
            CHECK(congestion.isCongested(now));
        }
    }

    // Guards against resetting the open flows of upstreams that serve them: 6,111 requests ended that way in a replay
    // of ten times the callers.
    TEST_CASE_FIXTURE(CongestedFixture, "silence while the link is congested is not held against upstreams")
    {
        SUBCASE("retransmissions start no probe")
        {
            repeatRequest();
            REQUIRE(forwarder.responses().takeProbes(now).size() == 1);
            forwarder.responses().discardProbes();
            congest();
            CHECK(forwarder.responses().takeProbes(now).empty());
            repeatRequest();
            CHECK(forwarder.evidenceDiscarded() == 1);
        }
        SUBCASE("probes without an answer are discarded, also if they began before")
        {
            const auto request = repeatRequest();
            for (int n = 0; n < 3; ++n) {
                const auto ids = forwarder.responses().takeProbes(now);
                REQUIRE(ids.size() == 1);
                congest();
                forwarder.noteProbe(ids[0], ProbeResult::NoAnswer, now += 125ms);
                now += 100ms;
            }
            CHECK(unresponsive() == 0);
            CHECK(forwarder.takeLostFlows(now).empty());
            CHECK(handle(request).action == ForwardAction::Forward);
        }
        // Guards against callers that wait for an upstream whose VM says that it has ended.
        SUBCASE("but refused probes count")
        {
            repeatRequest();
            const auto ids = forwarder.responses().takeProbes(now);
            REQUIRE(ids.size() == 1);
            congest();
            forwarder.noteProbe(ids[0], ProbeResult::Refused, now);
            now += 201ms;
            REQUIRE(forwarder.responses().takeProbes(now).size() == 1);
            congest();
            forwarder.noteProbe(ids[0], ProbeResult::Refused, now);
            CHECK(forwarder.responses().isUnresponsive(ids[0]));
        }
        SUBCASE("unconfirmed openings neither move the next flows nor count against a zone")
        {
            for (std::uint32_t caller = 0; caller < 10; ++caller)
                openFrom(caller);
            now += 120ms;
            SUBCASE("")
            {
                congest();
                const auto next = openFrom(100);
                CHECK(directory.find(next.instance)->report.zone == "a");
                CHECK(forwarder.zoneOutages().suspectedZones() == 0);
                CHECK(openFrom(0).instance.value <= 10);
            }
            SUBCASE("as they do otherwise")
            {
                CHECK(directory.find(openFrom(100).instance)->report.zone != "a");
                CHECK(forwarder.zoneOutages().suspectedZones() == 1);
            }
        }
        SUBCASE("a repeated opening packet moves the flow without an avoidance of its upstream")
        {
            auto segment = opening();
            const auto first = handle(segment);
            for (std::uint32_t copy = 1; copy <= 4; ++copy) {
                now += 200ms;
                congest();
                segment.acknowledged = copy;
                CHECK(handle(segment).instance != first.instance);
            }
            directory = {};
            add(1, "booking");
            for (std::uint32_t copy = 5; copy <= 8; ++copy) {
                now += 200ms;
                congest();
                segment.acknowledged = copy;
                CHECK(handle(segment).instance.value == 1);
            }
            CHECK(!forwarder.loadOf({ 1 })->isAvoided(now));
        }
        SUBCASE("a caller's next flow may go to the upstream of its unconfirmed one")
        {
            directory = {};
            add(1, "booking");
            add(2, "booking", "b");
            openFrom(0);
            now += 5ms;
            congest();
            CHECK(openFrom(0).instance.value == 1);
            now += 2s;
            openFrom(0);
            now += 5ms;
            CHECK(openFrom(0).instance.value == 2);
        }
        SUBCASE("the judgement of an upstream that is dead is delayed by that time only")
        {
            congest();
            const auto request = repeatRequest();
            now += 100ms;
            handle(request);
            failProbes();
            CHECK(unresponsive() == 1);
        }
    }

    // Guards against blaming upstreams for packets, and answers to probes, that a full link lost on their way in.
    TEST_CASE("a link at which packets come in at its rate is congested")
    {
        LinkCongestion congestion;
        LinkAdmission admission(250'000);
        PacedLink link({ 250'000 }, congestion, admission);
        core::TimePoint now { 100s };
        const auto receive = [&](unsigned packets, core::Duration gap) {
            for (unsigned n = 0; n < packets; ++n, now += gap)
                link.noteReceived(1232, now);
        };
        // An upload of 16 packets at once, five times a second.
        for (int n = 0; n < 10; ++n) {
            receive(16, 0ms);
            now += 200ms;
        }
        CHECK(!congestion.isCongested(now));
        receive(200, 5ms);
        CHECK(congestion.isCongested(now));
        CHECK(congestion.cause() == CongestionCause::Receive);
        now += 400ms;
        CHECK(!congestion.isCongested(now));
    }

    // Guards against resets of open flows whose upstreams serve: soon after a congestion the link may still lose the
    // answers to probes. 272 flows were reset so at ten times the callers.
    TEST_CASE_FIXTURE(ForwarderFixture, "open flows of a silent upstream aren't reset soon after a congestion")
    {
        add(1, "booking");
        const auto segment = opening();
        const auto token = handle(segment).token;
        now += 5ms;
        handle(dataOf(segment, token));
        forwarder.congestion().noteFullReceiveRate(now);
        now += 500ms;
        const auto result = [&](ProbeResult probe) {
            for (int n = 0; n < 2; ++n, now += 200ms) {
                forwarder.responses().noteSuspected({ 1 }, now);
                forwarder.responses().takeProbes(now);
                forwarder.noteProbe({ 1 }, probe, now);
            }
            REQUIRE(forwarder.responses().isUnresponsive({ 1 }));
            return handle(dataOf(segment, token)).action;
        };
        SUBCASE("while its VM doesn't refuse probes")
        {
            CHECK(result(ProbeResult::NoAnswer) == ForwardAction::Forward);
            CHECK(forwarder.takeLostFlows(now).empty());
            now += 6s;
            CHECK(handle(dataOf(segment, token)).action == ForwardAction::Reset);
        }
        SUBCASE("but those of one whose VM refuses probes are")
        {
            CHECK(result(ProbeResult::Refused) == ForwardAction::Reset);
        }
    }

    // Guards against response times that hold the wait for the balancer's own link.
    TEST_CASE_FIXTURE(ForwarderFixture, "late responses while the link is congested make no upstream slow")
    {
        add(1, "booking");
        add(2, "booking");
        const auto exchange = [&](std::uint64_t slowId, core::Duration slowTime) {
            const auto segment = opening();
            const auto placed = handle(segment);
            now += 1ms;
            handle(dataOf(segment, placed.token));
            now += placed.instance.value == slowId ? slowTime : 20ms;
            auto acknowledgement = dataOf(segment, placed.token, 900);
            acknowledgement.payloadBytes = 0;
            acknowledgement.isFinishing = true;
            handle(acknowledgement);
        };
        for (int n = 0; n < 40; ++n)
            exchange(0, 20ms);
        SUBCASE("")
        {
            for (int n = 0; n < 20; ++n) {
                forwarder.congestion().noteWait(EgressClass::Control, 50ms, now);
                exchange(1, 150ms);
            }
            CHECK(forwarder.slowInstances(now) == 0);
            CHECK(forwarder.evidenceDiscarded() == 20);
        }
        SUBCASE("as they do otherwise")
        {
            for (int n = 0; n < 20; ++n)
                exchange(1, 150ms);
            CHECK(forwarder.slowInstances(now) == 1);
        }
    }

    // Guards against silence that LinkCongestion doesn't see: upstreams with full queues, or a full network. 16 of 150
    // upstreams of all zones were judged within 0.3 s in a replay of ten times the callers.
    TEST_CASE_FIXTURE(CongestedFixture, "few upstreams are found unresponsive when those of all zones are silent")
    {
        const auto suspect = [&](std::uint64_t from, std::uint64_t until) {
            for (auto id = from; id <= until; ++id)
                forwarder.responses().noteRetransmission({ id }, now);
        };
        SUBCASE("")
        {
            suspect(1, 30);
            failProbes();
            // All of two zones, and up to the share of the third.
            CHECK(unresponsive() <= 22);
            CHECK(forwarder.evidenceDiscarded() > 0);
        }
        SUBCASE("and their number doesn't grow with the number of silent upstreams")
        {
            suspect(1, 2);
            suspect(11, 12);
            failProbes();
            suspect(21, 30);
            failProbes();
            CHECK(unresponsive() == 4);
        }
        // Guards against sparing those that fail next, for seconds, when all reports were overdue in a large fleet.
        SUBCASE("but suspicions of other daemons alone spare none")
        {
            for (std::uint64_t id = 1; id <= 30; ++id)
                forwarder.responses().noteSuspected({ id }, now);
            const auto discardedBefore = forwarder.evidenceDiscarded();
            forwarder.responses().takeProbes(now);
            for (int n = 0; n < 2; ++n) {
                forwarder.noteProbe({ 1 }, ProbeResult::NoAnswer, now);
                forwarder.responses().takeProbes(now);
            }
            CHECK(forwarder.responses().isUnresponsive({ 1 }));
            CHECK(forwarder.evidenceDiscarded() == discardedBefore);
        }
        // Guards against leaving the callers of a lost zone to their timers.
        SUBCASE("but all those of a zone whose upstreams are lost")
        {
            suspect(1, 10);
            failProbes();
            CHECK(unresponsive() == 10);
        }
    }
}
