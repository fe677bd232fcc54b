#include "ibisgw/direct/LeastWorkSelector.h"
#include "ibisgw/direct/MedianEstimate.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::direct;
using namespace std::chrono_literals;

TEST_SUITE("direct")
{
    // Guards against a normal response time that rises with a few slow upstreams, so that none of them counts as slow.
    TEST_CASE("the median of response times")
    {
        MedianEstimate median;
        CHECK(!median.isReliable());
        for (int n = 0; n < 200; ++n)
            median.add(20ms);
        CHECK(median.isReliable());
        CHECK(median.ratioOf(20ms) == doctest::Approx(1).epsilon(0.05));

        SUBCASE("isn't moved by a minority of slow responses")
        {
            for (int n = 0; n < 500; ++n)
                median.add(n % 5 == 0 ? 1000ms : 20ms);
            CHECK(median.ratioOf(20ms) == doctest::Approx(1).epsilon(0.1));
        }
        SUBCASE("isn't moved much by some seconds in which all upstreams of a zone are slow")
        {
            for (int n = 0; n < 1000; ++n)
                median.add(20ms);
            for (int n = 0; n < 100; ++n)
                median.add(60ms);
            CHECK(median.ratioOf(60ms) > 2);
        }
        SUBCASE("follows when all responses stay slow, which is no fault of one upstream")
        {
            for (int n = 0; n < 2000; ++n)
                median.add(60ms);
            CHECK(median.ratioOf(60ms) == doctest::Approx(1).epsilon(0.05));
        }
    }

    TEST_CASE("an upstream that responds slowly")
    {
        const core::TimePoint now { 100s };
        InstanceLoad load;
        CHECK(load.slowdown(now) == doctest::Approx(1));
        for (int n = 0; n < 10; ++n)
            load.noteResponse(5, now);
        CHECK(load.slowdown(now) > 4);
        CHECK(load.isSlow(now));

        SUBCASE("counts as normal again after some time without responses, so that it is tried")
        {
            CHECK(load.slowdown(now + 30s) == doctest::Approx(1).epsilon(0.01));
        }
        SUBCASE("counts as normal again after normal responses")
        {
            for (int n = 0; n < 10; ++n)
                load.noteResponse(1, now);
            CHECK(load.slowdown(now) < 1.5);
        }
        SUBCASE("is not judged by one extreme response alone")
        {
            InstanceLoad other;
            other.noteResponse(1000, now);
            CHECK(other.slowdown(now) < 4);
        }
        SUBCASE("gets new flows only while its peers are busy")
        {
            upstream::InstanceRecord slow;
            slow.report.id = { 1 };
            slow.report.slots = 2;
            auto normal = slow;
            normal.report.id = { 2 };
            InstanceLoad normalLoad;
            const std::vector<Candidate> candidates { { &slow, &load, true, false },
                { &normal, &normalLoad, true, false } };
            const LeastWorkSelector selector { 1 };
            CHECK(selector.select(candidates, now) == &candidates[1]);
            normalLoad.noteWorkStarted(now);
            CHECK(selector.select(candidates, now) == &candidates[1]);
            for (int n = 0; n < 10; ++n)
                normalLoad.noteWorkStarted(now);
            CHECK(selector.select(candidates, now) == &candidates[0]);
        }
    }
}
