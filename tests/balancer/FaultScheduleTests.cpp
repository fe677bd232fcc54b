#include "support/FaultSchedule.h"

#include <doctest/doctest.h>

TEST_SUITE("balancer")
{
    // Guards against a failed seed that cannot be replayed.
    TEST_CASE("a fault schedule gives the same totals each time")
    {
        support::FaultScheduleOptions options;
        options.seed = 7;
        const auto first = support::runFaultSchedule(options);
        const auto second = support::runFaultSchedule(options);
        CHECK(first.answered > 100);
        CHECK(first.answered == second.answered);
        CHECK(first.outcomeUnknown == second.outcomeUnknown);
        CHECK(first.executions == second.executions);
    }
}
