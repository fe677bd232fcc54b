#include "support/LoadReplay.h"

#include <doctest/doctest.h>
#include <iostream>
#include <set>

using namespace support;
using namespace ibisgw;
using namespace ibisgw::direct;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seedCount = 3;

struct NamedPlacement {
    const char* name;
    PlacementPattern placement;
};

std::vector<NamedPlacement> placements()
{
    std::vector<NamedPlacement> result {
        { "common order", { PlacementRule::CommonOrder } },
        { "own order at first", {} },
        { "own order always", { PlacementRule::OwnOrder } },
        { "two random", { PlacementRule::TwoRandom } },
    };
    for (const auto interval : { 250ms, 500ms, 1000ms, 2000ms }) {
        result.push_back({ "shared flows", { PlacementRule::SharedFlows, interval } });
        result.push_back({ "shared work", { PlacementRule::SharedWork, interval } });
        result.push_back({ "two random, shared flows", { PlacementRule::TwoRandomSharedFlows, interval } });
    }
    return result;
}

// Means over the seeds, except for `shed`, a sum.
struct Averages {
    double busiestOverMean { 0 };
    std::uint64_t shed { 0 };
    // Of the requests in seconds 0 and 1; a late answer has 0.3 of the credit.
    double startCredit { 0 };
    double inObjective { 0 };
    double slotUse { 0 };
};

Averages averageOf(const LoadPattern& pattern)
{
    Averages result;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto report = LoadReplay(pattern, seed).run();
        auto start = report.seconds[0];
        start += report.seconds[1];
        const auto credit = static_cast<double>(start.inObjective) + 0.3 * static_cast<double>(start.late);
        result.busiestOverMean += report.busiestOverMean() / seedCount;
        result.shed += report.shed;
        result.startCredit += credit / static_cast<double>(start.total()) / seedCount;
        result.inObjective += report.all.shareInObjective() / seedCount;
        result.slotUse += report.slotUse / seedCount;
    }
    return result;
}

void printRow(const char* name, const LoadPattern& pattern)
{
    const auto row = averageOf(pattern);
    std::cout << name << " | " << pattern.placement.interval / 1ms << " ms | " << pattern.balancers << " | "
              << pattern.routes[0].requestsPerSecond << "/s | " << row.busiestOverMean << " | " << row.shed << " | "
              << row.startCredit << " | " << row.inObjective << " | " << row.slotUse << std::endl;
}

void compareRules(unsigned balancers)
{
    std::vector<unsigned> loadFactors { 1, 2 };
    std::optional<OutagePattern> outage;
    bool isOutdated = false;
    SUBCASE("normal") { }
    SUBCASE("overload")
    {
        loadFactors = { 3, 4 };
    }
    SUBCASE("outdated")
    {
        isOutdated = true;
    }
    SUBCASE("restarted")
    {
        outage = OutagePattern { 8s, 8300ms, 200ms, 8500ms, 0.5 };
    }
    for (auto [name, placement] : placements()) {
        for (const auto loadFactor : loadFactors) {
            auto pattern = balanceFeedPattern(balancers, loadFactor);
            pattern.length = 20s;
            pattern.outage = outage;
            pattern.placement = placement;
            if (isOutdated) {
                pattern.placement.delay = 2 * placement.interval;
                pattern.placement.loss = 0.3;
            }
            printRow(name, pattern);
        }
    }
}

void compareSizes(unsigned balancers, unsigned upstreams)
{
    for (const auto& it : { placements()[0], placements()[1] }) {
        const auto print = [&](const char* load, LoadPattern pattern) {
            pattern.length = 10s;
            pattern.placement = it.placement;
            std::cout << load << " | " << upstreams << " | ";
            printRow(it.name, pattern);
        };
        const auto normal = balanceFeedPattern(balancers, 1, upstreams);
        print("long flows", normal);
        auto pattern = normal;
        pattern.routes[0].persistentFlows = 0;
        print("short flows", pattern);
        pattern.slowdown = { 2s, 8s, upstreams / 7, 5 };
        print("short flows, slow upstreams", pattern);
        pattern = normal;
        pattern.remoteUpstreams = 2 * upstreams / 3;
        for (auto& route : pattern.routes)
            route.requestsPerSecond /= 3;
        print("a zone", pattern);
        pattern = normal;
        pattern.outage = OutagePattern { 2s, 3s, 200ms, 3200ms };
        print("all restarted", pattern);
        pattern = normal;
        pattern.burst = { 2s, 6s, 3 };
        print("burst", pattern);
    }
}

} // namespace

TEST_SUITE("direct")
{
    // Guards against a common order of the upstreams: the first flows of all balancers that start together then meet at
    // the same upstreams, which answer 503, and long flows stay there.
    TEST_CASE("upstreams without work so far")
    {
        constexpr std::uint64_t upstreams = 120;
        const core::TimePoint now { 100s };
        std::vector<upstream::InstanceRecord> records(upstreams);
        std::vector<InstanceLoad> loads(upstreams);
        std::vector<Candidate> candidates;
        for (std::uint64_t n = 0; n < upstreams; ++n) {
            records[n].report.id = { n + 1 };
            records[n].report.slots = 2;
            candidates.push_back({ &records[n], &loads[n], true, false });
        }

        SUBCASE("are selected in different orders by different balancers")
        {
            std::set<const Candidate*> first;
            for (std::uint64_t balancer = 0; balancer < upstreams; ++balancer)
                first.insert(LeastWorkSelector(balancer).select(candidates, now));
            // Independent choices leave out a share of 1/e.
            CHECK(first.size() > upstreams / 2);
        }
        SUBCASE("are each selected once before any is selected again")
        {
            const LeastWorkSelector selector(7);
            std::set<const Candidate*> selected;
            for (std::uint64_t n = 0; n < upstreams; ++n) {
                const auto* it = selector.select(candidates, now);
                selected.insert(it);
                auto& load = loads[it->record->report.id.value - 1];
                load.noteWorkStarted(now + n * 1ms);
                load.noteWorkEnded();
            }
            CHECK(selected.size() == upstreams);
        }
        SUBCASE("come before those that had work, and those with less work before both")
        {
            for (auto& it : loads)
                it.noteWorkStarted(now);
            loads[4].noteWorkEnded();
            CHECK(LeastWorkSelector(7).select(candidates, now) == &candidates[4]);
            loads[9] = {};
            CHECK(LeastWorkSelector(7).select(candidates, now) == &candidates[9]);
        }
    }

    // Guards against the same fault in a whole deployment.
    TEST_CASE("balancers that start together serve the first requests of long flows in time")
    {
        // Credit in the first two seconds, see docs/cold-starts-and-configuration-checks.md.
        constexpr double target = 0.985;
        for (const auto balancers : { 7U, 90U, 300U }) {
            CAPTURE(balancers);
            auto pattern = balanceFeedPattern(balancers, 1);
            pattern.length = 2s;
            CHECK(averageOf(pattern).startCredit >= target);
        }
    }

    // Prints the figures of docs/design/shared-load.md; takes minutes. It judges nothing.
    TEST_CASE("compare placement rules" * doctest::skip())
    {
        // Knows all load without a delay.
        SUBCASE("1 balancer")
        {
            compareRules(1);
        }
        SUBCASE("7 balancers")
        {
            compareRules(7);
        }
        SUBCASE("90 balancers")
        {
            compareRules(90);
        }
        SUBCASE("300 balancers")
        {
            compareRules(300);
        }
    }

    // The same for the two orders of upstreams without work, at other sizes and under other loads.
    TEST_CASE("compare orders at first" * doctest::skip())
    {
        for (const auto upstreams : { 14U, 50U, 120U, 300U }) {
            for (const auto balancers : { 7U, 9U, 70U })
                compareSizes(balancers, upstreams);
        }
    }
}
