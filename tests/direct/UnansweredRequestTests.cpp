#include "direct/ForwarderFixture.h"

#include <doctest/doctest.h>

using namespace support;

namespace {

// Twelve upstreams; upstream 1 may stop answering.
struct AnswerFixture : ForwarderFixture {
    AnswerFixture()
    {
        for (std::uint64_t id = 1; id <= 12; ++id)
            add(id, "booking");
    }
    // One request on a flow of its own; returns its upstream. The caller acknowledges the answer if there is one.
    InstanceId request(const std::function<bool(InstanceId)>& answers)
    {
        const auto opening = this->opening();
        const auto decision = handle(opening);
        now += 5ms;
        handle(dataOf(opening, decision.token));
        now += 20ms;
        if (answers(decision.instance)) {
            auto acknowledgement = dataOf(opening, decision.token, 1100);
            acknowledgement.payloadBytes = 0;
            acknowledgement.sequence = 100;
            acknowledgement.isFinishing = true;
            handle(acknowledgement);
        }
        forwarder.tick(now);
        return decision.instance;
    }
    // Number of requests that upstream 1 gets.
    unsigned requestsToFirst(unsigned count, const std::function<bool(InstanceId)>& answers)
    {
        unsigned n = 0;
        for (unsigned i = 0; i < count; ++i)
            n += request(answers) == InstanceId { 1 } ? 1 : 0;
        return n;
    }
};

const auto always = [](InstanceId) { return true; };
const auto neverByFirst = [](InstanceId id) { return id != InstanceId { 1 }; };

} // namespace

TEST_SUITE("direct")
{
    // Guards against an upstream that accepts flows, passes its health check and answers nothing: its work seems to end
    // with the latency objective, so that it looks idle and gets more flows than others.
    TEST_CASE_FIXTURE(AnswerFixture, "an upstream that leaves a request unanswered gets no new flows for a while")
    {
        requestsToFirst(100, always);
        REQUIRE(requestsToFirst(40, neverByFirst) > 0);
        // 40 requests take a second: the objective of 150 ms has passed twice.
        CHECK(forwarder.unansweredRequests().isFailing({ 1 }, now));
        CHECK(forwarder.unansweredRequests().takeReports(now) == std::vector { InstanceId { 1 } });
        CHECK(requestsToFirst(20, neverByFirst) == 0);

        SUBCASE("and gets them again when it answers")
        {
            now += 10s;
            CHECK(requestsToFirst(40, always) > 0);
            CHECK(forwarder.unansweredRequests().failingInstances(now) == 0);
        }
    }
    TEST_CASE_FIXTURE(
        AnswerFixture, "an upstream that others report as failing gets no new flows until the reports cease")
    {
        requestsToFirst(100, always);
        forwarder.unansweredRequests().noteShared({ 1 }, 0, now);
        CHECK(requestsToFirst(24, always) == 0);
        now += 1s;
        CHECK(requestsToFirst(24, always) > 0);

        SUBCASE("and balancers try it again one after the other")
        {
            forwarder.unansweredRequests().noteShared({ 1 }, 0.5, now);
            now += 2s;
            CHECK(requestsToFirst(24, always) == 0);
            now += 2s;
            CHECK(requestsToFirst(24, always) > 0);
        }
    }
    // Guards against blaming upstreams for answers that this balancer can't see, because their acknowledgements come
    // with the next request or through another balancer.
    TEST_CASE_FIXTURE(AnswerFixture, "without any answers in sight no upstream is suspected")
    {
        for (int n = 0; n < 200; ++n)
            request([](InstanceId) { return false; });
        CHECK(forwarder.unansweredRequests().failingInstances(now) == 0);

        SUBCASE("nor when the answers of all upstreams cease")
        {
            requestsToFirst(300, always);
            for (int n = 0; n < 300; ++n)
                request([](InstanceId) { return false; });
            CHECK(forwarder.unansweredRequests().failingInstances(now + 8s) == 0);
        }
    }
}
