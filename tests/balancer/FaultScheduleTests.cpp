#include "support/FaultSchedule.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

support::FaultTotals runSeeds(std::uint64_t count, const balancer::SafetyRules& rules, unsigned zoneOrders = 0)
{
    support::FaultTotals totals;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        support::FaultScheduleOptions options;
        options.seed = seed;
        options.rules = rules;
        options.zoneOrders = zoneOrders;
        totals.add(support::runFaultSchedule(options));
    }
    return totals;
}

} // namespace

TEST_SUITE("balancer")
{
    // Guards against nondeterminism, which would prevent the replay of a failed seed.
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

    // Guards against requests that run twice, false `not_run` refusals, misrouted packets and answers from another
    // flow's upstream (R2 to R5). ibisgw-bench runs 1,000 seeds.
    TEST_CASE("fault schedules violate no safety rule")
    {
        const auto totals = runSeeds(60, {});
        CHECK(totals.duplicateExecutions == 0);
        CHECK(totals.falseNotRun == 0);
        CHECK(totals.misroutedPackets == 0);
        CHECK(totals.crossedAnswers == 0);
    }

    // Guards against new flows in an evacuated zone, and against evacuations that break the safety rules when they
    // overlap with the faults.
    TEST_CASE("fault schedules with evacuations and restores violate no rule")
    {
        const auto totals = runSeeds(60, {}, 5);
        CHECK(totals.lateOpens == 0);
        CHECK(totals.duplicateExecutions == 0);
        CHECK(totals.falseNotRun == 0);
        CHECK(totals.misroutedPackets == 0);
        CHECK(totals.crossedAnswers == 0);
        CHECK(totals.answered > totals.requests / 2);
    }

    // Guards against extra attempts that break a flow, run twice or reach the caller as packets of another upstream.
    // The faults start when the balancers know the latencies and no change of homes is recent.
    TEST_CASE("fault schedules with hedged requests violate no safety rule")
    {
        support::FaultTotals totals;
        for (std::uint64_t seed = 1; seed <= 30; ++seed) {
            support::FaultScheduleOptions options;
            options.seed = seed;
            options.hedgingShare = 0.2;
            options.flowsPerSecond = 40;
            options.duration = 40s;
            options.faultsFrom = 18s;
            options.faults = 20;
            totals.add(support::runFaultSchedule(options));
        }
        MESSAGE(totals.extraAttempts << " extra attempts of " << totals.requests << " requests, answered "
                                     << totals.answered << ", refused " << totals.notRun << " and "
                                     << totals.outcomeUnknown);
        CHECK(totals.isClean());
        CHECK(totals.duplicateExecutions == 0);
        CHECK(totals.falseNotRun == 0);
        CHECK(totals.misroutedPackets == 0);
        CHECK(totals.crossedAnswers == 0);
        CHECK(totals.wrongExtraAttempts == 0);
        CHECK(totals.extraAttempts > 1000);
        CHECK(static_cast<double>(totals.extraAttempts) <= 0.2 * static_cast<double>(totals.requests));
    }

    // Guards against checks that can't fail: each subcase switches one safety rule off and expects a violation.
    TEST_CASE("fault schedules detect a missing safety rule")
    {
        balancer::SafetyRules rules;
        SUBCASE("a new home places flows without a query to the previous homes")
        {
            rules.queryPreviousHomes = false;
            const auto totals = runSeeds(100, rules);
            CHECK(totals.duplicateExecutions + totals.crossedAnswers > 0);
        }
        SUBCASE("a request on an established flow is refused as not run")
        {
            rules.requestsRefusedAsUnknown = false;
            CHECK(runSeeds(20, rules).falseNotRun > 0);
        }
        SUBCASE("a request is sent to a second upstream")
        {
            rules.requestsStayAtUpstream = false;
            CHECK(runSeeds(20, rules).duplicateExecutions > 0);
        }
        SUBCASE("a token of another service is accepted")
        {
            rules.verifyTokens = false;
            CHECK(runSeeds(20, rules).misroutedPackets > 0);
        }
    }
}
