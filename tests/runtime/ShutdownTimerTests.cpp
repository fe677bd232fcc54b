#include "ibisgw/runtime/ShutdownTimer.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace std::chrono_literals;

TEST_SUITE("runtime")
{
    // Guards against a planned stop that aborts calls in progress: a controller exited 300 ms after the signal, while a
    // call that waits for other controllers may take 850 ms to be answered.
    TEST_CASE("a process finishes its work before it exits")
    {
        constexpr core::TimePoint start { 100s };
        ShutdownTimer timer({ 300ms, 100ms, 5s });
        CHECK(!timer.hasBegun());
        CHECK(!timer.isOver(start + 10s));
        timer.begin(start);
        CHECK(!timer.isOver(start + 200ms));

        SUBCASE("and exits after the minimum duration without work")
        {
            CHECK(timer.isOver(start + 301ms));
        }
        SUBCASE("and exits a quiet period after the last work")
        {
            timer.recordWork(start + 850ms);
            CHECK(!timer.isOver(start + 900ms));
            CHECK(timer.isOver(start + 951ms));
        }
        SUBCASE("but exits at the maximum duration at the latest")
        {
            timer.recordWork(start + 5s);
            CHECK(timer.isOver(start + 5001ms));
        }
    }
}
