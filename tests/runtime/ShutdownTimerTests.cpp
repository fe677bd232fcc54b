#include "ibisgw/runtime/ShutdownTimer.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace std::chrono_literals;

TEST_SUITE("runtime")
{
    // Guards against a planned stop that cuts off calls that were just taken: a controller ended 300 ms after the
    // signal, while an answer that waits for the other controllers may take 850 ms.
    TEST_CASE("a process that was asked to stop finishes its work")
    {
        constexpr core::TimePoint start { 100s };
        ShutdownTimer timer({ 300ms, 100ms, 5s });
        CHECK(!timer.hasBegun());
        CHECK(!timer.isOver(start + 10s));
        timer.begin(start);
        CHECK(!timer.isOver(start + 200ms));

        SUBCASE("and ends after the least time when there is none")
        {
            CHECK(timer.isOver(start + 301ms));
        }
        SUBCASE("and ends a moment after the last answer")
        {
            timer.noteWork(start + 850ms);
            CHECK(!timer.isOver(start + 900ms));
            CHECK(timer.isOver(start + 951ms));
        }
        SUBCASE("but ends before it is killed")
        {
            timer.noteWork(start + 5s);
            CHECK(timer.isOver(start + 5001ms));
        }
    }
}
