#include "ibisgw/runtime/IsolationMonitor.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace std::chrono_literals;

TEST_SUITE("runtime")
{
    // Guards against a balancer that is cut off from all controllers and places flows on upstreams that have left since
    // (incident inc-ab85).
    TEST_CASE("a balancer without contact to any controller")
    {
        IsolationMonitor monitor;
        const core::TimePoint start { 100s };
        monitor.update(true, start);

        SUBCASE("is not isolated while the controllers restart")
        {
            monitor.update(false, start + 1900ms);
            CHECK(!monitor.isIsolated());
        }
        SUBCASE("is isolated after the timeout, until it reaches a controller again")
        {
            monitor.update(false, start + 2100ms);
            CHECK(monitor.isIsolated());
            monitor.update(true, start + 2200ms);
            CHECK(!monitor.isIsolated());
        }
        SUBCASE("is not isolated after its start, before the first contact")
        {
            IsolationMonitor started;
            started.update(false, start);
            started.update(false, start + 1s);
            CHECK(!started.isIsolated());
        }
    }
}
