#include "support/LoadReplay.h"

#include <doctest/doctest.h>
#include <set>

using namespace support;
using namespace ibisgw;
using namespace ibisgw::direct;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t seedCount = 3;

// Share of the credit of the requests in seconds 0 and 1, mean over the seeds; a late answer has 0.3 of the credit.
double startCreditOf(const LoadPattern& pattern)
{
    double result = 0;
    for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
        const auto report = LoadReplay(pattern, seed).run();
        auto start = report.seconds[0];
        start += report.seconds[1];
        const auto credit = static_cast<double>(start.inObjective) + 0.3 * static_cast<double>(start.late);
        result += credit / static_cast<double>(start.total()) / seedCount;
    }
    return result;
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
            CHECK(startCreditOf(pattern) >= target);
        }
    }
}
