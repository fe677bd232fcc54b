#include "support/HedgeReplay.h"

#include <doctest/doctest.h>

#include <iomanip>
#include <sstream>

using namespace ibisgw;
using namespace std::chrono_literals;
using support::HedgeReplayReport;
using support::latencyQuantile;

namespace {

double milliseconds(core::Duration it)
{
    return core::toSeconds(it) * 1000;
}

double extraShare(const HedgeReplayReport& it)
{
    return static_cast<double>(it.extraAttempts) / static_cast<double>(it.idempotentRequests);
}

double extraWork(const HedgeReplayReport& it)
{
    return core::toSeconds(it.extraWork) / core::toSeconds(it.work - it.extraWork);
}

// One row of the table in docs/design/hedging.md.
std::string rowOf(double maxShare, const HedgeReplayReport& it)
{
    std::ostringstream row;
    row << std::fixed << std::setprecision(1) << "| " << maxShare * 100 << " % |";
    for (const auto* latencies : { &it.idempotentLatencies, &it.otherLatencies }) {
        for (const double share : { 0.5, 0.99, 0.999 })
            row << " " << milliseconds(latencyQuantile(*latencies, share)) << " |";
    }
    row << std::setprecision(2) << " " << extraShare(it) * 100 << " % | " << extraWork(it) * 100 << " % | "
        << it.wonByExtraAttempt << " of " << it.extraAttempts << " | " << it.refusedByLimit << " | " << it.unanswered
        << " |";
    return row.str();
}

HedgeReplayReport replay(const std::vector<support::ReplayedKind>& kinds, double maxShare)
{
    support::HedgeReplayOptions options;
    options.maxShare = maxShare;
    options.kinds = kinds;
    return support::replayHedging(options);
}

} // namespace

TEST_SUITE("request")
{
    // Guards against hedging that costs more than its limit or doesn't help: one slow and one hanging upstream, and a
    // tail of 3 % of the requests with seven times the work.
    TEST_CASE("hedged requests lower the tail latency within the limit of extra work")
    {
        const std::pair<const char*, std::vector<support::ReplayedKind>> deployments[] {
            { "stop card", support::stopCardKinds() },
            { "balance feed", support::balanceFeedKinds() },
        };
        for (const auto& [name, kinds] : deployments) {
            const auto without = replay(kinds, 0);
            CHECK(without.extraAttempts == 0);
            MESSAGE(std::string(name) << rowOf(0, without));
            for (const double maxShare : { 0.02, 0.05 }) {
                const auto hedged = replay(kinds, maxShare);
                CAPTURE(maxShare);
                MESSAGE(rowOf(maxShare, hedged));
                CHECK(hedged.wrongAttempts == 0);
                CHECK(hedged.extraAttempts > 0);
                CHECK(extraShare(hedged) <= maxShare);
                CHECK(latencyQuantile(hedged.idempotentLatencies, 0.999)
                    < latencyQuantile(without.idempotentLatencies, 0.999));
                CHECK(extraWork(hedged) <= maxShare);
                CHECK(hedged.unansweredIdempotent <= without.unansweredIdempotent);
            }
        }
    }

    // Guards against results that can't be reproduced.
    TEST_CASE("equal seeds of the hedging replay give equal reports")
    {
        support::HedgeReplayOptions options;
        options.maxShare = 0.05;
        options.kinds = support::stopCardKinds();
        options.duration = 60s;
        const auto first = support::replayHedging(options);
        const auto second = support::replayHedging(options);
        CHECK(first.extraAttempts > 0);
        CHECK(first.extraAttempts == second.extraAttempts);
        CHECK(first.idempotentLatencies == second.idempotentLatencies);
    }
}
