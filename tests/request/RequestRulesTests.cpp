#include "ibisgw/request/AdmissionQueue.h"
#include "ibisgw/request/ConcurrencyLimiter.h"
#include "ibisgw/request/InFlightTable.h"
#include "ibisgw/request/RetryBudget.h"
#include "ibisgw/request/ServiceLoad.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

const core::TimePoint start = core::TimePoint {} + 24h;

core::FlowKey flowOfCaller(std::uint32_t caller)
{
    return { { caller, 50000 }, { 0xc0000201, 443 } };
}

configuration::RequestKind makeKind(core::KindId id, std::uint32_t limit)
{
    configuration::RequestKind kind { id, "kind" };
    kind.concurrencyLimit = limit;
    kind.queueLimit = 2;
    return kind;
}

} // namespace

TEST_SUITE("request")
{
    // Guards against upstreams that work on requests whose callers have given up.
    TEST_CASE("the remaining time of a deadline decreases by the time spent")
    {
        const request::Deadline deadline(500, start);
        CHECK(deadline.remainingMs(start + 200ms) == 300);
        CHECK(deadline.remainingMs(start + 900ms) == 1);
        CHECK(deadline.isExpired(start + 500ms));
        CHECK_FALSE(deadline.isExpired(start + 499ms));
        SUBCASE("without a deadline nothing expires")
        {
            const request::Deadline none(0, start);
            CHECK(none.remainingMs(start + 1h) == 0);
            CHECK_FALSE(none.isExpired(start + 1h));
        }
    }

    // Guards against retry storms: retries must not multiply the load of upstreams that refuse work.
    TEST_CASE("retries are limited to a tenth of the opens of the last 10 s")
    {
        request::RetryBudget budget;
        for (int n = 0; n < 200; ++n)
            budget.recordOpen(start + n * 10ms);
        int retries = 0;
        while (budget.takeRetry(start + 2s))
            ++retries;
        CHECK(retries == 20);
        SUBCASE("a service without opens has one retry a second")
        {
            CHECK(budget.takeRetry(start + 30s));
            CHECK_FALSE(budget.takeRetry(start + 30500ms));
            CHECK(budget.takeRetry(start + 31s));
        }
    }

    // Guards against opens that are refused only after a wait, when the caller has no time left for another attempt.
    TEST_CASE("an open that cannot meet its deadline is refused at once")
    {
        request::AdmissionQueue queue;
        for (int n = 0; n < 100; ++n)
            queue.recordDeparture(true, start + n * 100ms);
        const auto now = start + 9900ms;
        // One departure in 100 ms. An open may wait for at most a quarter of its deadline.
        CHECK(queue.push(flowOfCaller(1), { 1000, now }, 64, now));
        CHECK(queue.push(flowOfCaller(2), { 1000, now }, 64, now));
        CHECK_FALSE(queue.push(flowOfCaller(3), { 1000, now }, 64, now));
        CHECK(queue.push(flowOfCaller(4), { 5000, now }, 64, now));
        SUBCASE("the number of queued opens is limited too")
        {
            CHECK_FALSE(queue.push(flowOfCaller(5), { 5000, now }, 3, now));
        }
        SUBCASE("a departure below full capacity discards the measured rate of departures")
        {
            queue.recordDeparture(false, now);
            CHECK(queue.push(flowOfCaller(3), { 1000, now }, 64, now));
        }
    }

    // Guards against upstream queues that grow until deadlines are missed because the configured limit is too high.
    TEST_CASE("the concurrency limit decreases when flows take too much of their deadline")
    {
        request::ConcurrencyLimiter limiter;
        const auto initial = limiter.limit();
        for (int n = 0; n < 200; ++n) {
            limiter.start();
            limiter.complete(0.9, start + n * 100ms);
        }
        CHECK(limiter.limit() == static_cast<std::uint32_t>(request::ConcurrencyLimiter::minLimit));
        SUBCASE("the limit recovers when flows are fast again")
        {
            for (int n = 0; n < 20000; ++n) {
                while (limiter.hasRoom())
                    limiter.start();
                limiter.complete(0.1, start + 60s + n * 1ms);
            }
            CHECK(limiter.limit() > initial);
        }
    }

    // Guards against opens of an important kind that wait behind those of a less important kind under overload.
    TEST_CASE("queued opens of the kind with the highest limit start first")
    {
        request::ServiceLoad load;
        const auto low = makeKind(1, 1);
        const auto high = makeKind(2, 2);
        const request::Deadline deadline(5000, start);
        CHECK(load.admit(flowOfCaller(1), low, deadline, start) == request::Admission::Start);
        CHECK(load.admit(flowOfCaller(2), high, deadline, start) == request::Admission::Start);
        CHECK(load.admit(flowOfCaller(3), high, deadline, start) == request::Admission::Start);
        CHECK(load.admit(flowOfCaller(4), low, deadline, start) == request::Admission::Wait);
        CHECK(load.admit(flowOfCaller(5), high, deadline, start) == request::Admission::Wait);
        CHECK(load.admit(flowOfCaller(6), high, deadline, start) == request::Admission::Wait);
        CHECK(load.admit(flowOfCaller(7), high, deadline, start) == request::Admission::Refuse);
        CHECK_FALSE(load.takeWaiting());
        load.release(1, start);
        load.release(2, start);
        CHECK(load.takeWaiting() == flowOfCaller(5));
        CHECK(load.takeWaiting() == flowOfCaller(4));
        CHECK_FALSE(load.takeWaiting());
    }

    // Guards against a table that grows without limit when other balancers forward the answers.
    TEST_CASE("the table of requests in flight is limited in count and time")
    {
        request::InFlightTable table(2);
        const core::UpstreamId first { 1 };
        const core::UpstreamId second { 2 };
        table.insert({ flowOfCaller(1), 1 }, { first, 2, start + 1s });
        table.insert({ flowOfCaller(1), 2 }, { second, 2, start + 2s });
        table.insert({ flowOfCaller(1), 3 }, { second, 2, start + 2s });
        CHECK(table.size() == 2);
        SUBCASE("entries are removed when their deadline passes")
        {
            table.removeExpired(start + 1500ms);
            CHECK(table.size() == 1);
        }
        SUBCASE("each request at one upstream is passed to the visitor once")
        {
            int taken = 0;
            for (int n = 0; n < 2; ++n)
                table.takeByUpstream(first, [&](const auto&, const auto&) { ++taken; });
            CHECK(taken == 1);
            CHECK(table.size() == 1);
        }
    }
}
