#include "ibisgw/runtime/PauseMonitor.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace std::chrono_literals;

TEST_SUITE("runtime")
{
    // Guards against a balancer that was paused for seconds and then places flows of queued packets on upstreams that
    // left during the pause.
    TEST_CASE("a process refreshes its directory after a pause")
    {
        core::TimePoint now { 100s };
        PauseMonitor monitor;
        monitor.recordActivity(now);
        for (int n = 0; n < 100; ++n) {
            monitor.recordActivity(now += 25ms);
            REQUIRE(!monitor.isRefreshing(now));
        }
        monitor.recordActivity(now += 3s);
        CHECK(monitor.isRefreshing(now));

        SUBCASE("for 50 ms")
        {
            monitor.recordActivity(now += 25ms);
            CHECK(monitor.isRefreshing(now));
            monitor.recordActivity(now += 26ms);
            CHECK(!monitor.isRefreshing(now));
        }
        SUBCASE("and again after another pause")
        {
            monitor.recordActivity(now += 4s);
            CHECK(monitor.isRefreshing(now));
        }
    }
}
