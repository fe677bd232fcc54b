#include "ibisgw/runtime/PauseMonitor.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace std::chrono_literals;

TEST_SUITE("runtime")
{
    // Guards against a balancer that was paused for seconds and places the packets that waited on upstreams that have
    // left.
    TEST_CASE("a process that stood still hears from the controllers before it decides")
    {
        core::TimePoint now { 100s };
        PauseMonitor monitor;
        monitor.noteTurn(now);
        for (int n = 0; n < 100; ++n) {
            monitor.noteTurn(now += 25ms);
            REQUIRE(!monitor.isRefreshing(now));
        }
        monitor.noteTurn(now += 3s);
        CHECK(monitor.isRefreshing(now));

        SUBCASE("for a moment")
        {
            monitor.noteTurn(now += 25ms);
            CHECK(monitor.isRefreshing(now));
            monitor.noteTurn(now += 26ms);
            CHECK(!monitor.isRefreshing(now));
        }
        SUBCASE("and again after another pause")
        {
            monitor.noteTurn(now += 4s);
            CHECK(monitor.isRefreshing(now));
        }
    }
}
