#include "ibisgw/runtime/IsolationMonitor.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace std::chrono_literals;

TEST_SUITE("runtime")
{
    // Guards against balancers that go on placing flows on upstreams that ended while no controller could tell them
    // (incident inc-ab85).
    TEST_CASE("a balancer without contact to any controller")
    {
        IsolationMonitor monitor;
        const core::TimePoint start { 100s };
        monitor.note(true, start);

        SUBCASE("is not isolated while the controllers restart")
        {
            monitor.note(false, start + 1900ms);
            CHECK(!monitor.isIsolated());
        }
        SUBCASE("is isolated after a while, until it hears one again")
        {
            monitor.note(false, start + 2100ms);
            CHECK(monitor.isIsolated());
            monitor.note(true, start + 2200ms);
            CHECK(!monitor.isIsolated());
        }
        SUBCASE("is not isolated at its start, when it has not heard one yet")
        {
            IsolationMonitor started;
            started.note(false, start);
            started.note(false, start + 1s);
            CHECK(!started.isIsolated());
        }
    }
}
