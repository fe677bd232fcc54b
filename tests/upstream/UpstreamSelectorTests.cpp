#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/upstream/JoinIdleQueueSelector.h"
#include "ibisgw/upstream/LeastInFlightSelector.h"

#include <doctest/doctest.h>
#include <map>

using namespace ibisgw;
using namespace std::chrono_literals;
using upstream::SelectionCandidate;

namespace {

const core::TimePoint start { 24h };

core::UpstreamId upstreamNumber(std::uint64_t n)
{
    return { 80 + n };
}

upstream::Announcement report(std::uint64_t n, std::uint16_t busySlots)
{
    upstream::Announcement announcement;
    announcement.upstream = upstreamNumber(n);
    announcement.slots = 2;
    announcement.busySlots = busySlots;
    return announcement;
}

} // namespace

TEST_SUITE("upstream")
{
    TEST_CASE("selection of the upstream of a request")
    {
        core::PcgRandomSource random(1);
        upstream::LoadEstimate load;
        std::vector<SelectionCandidate> candidates;
        for (std::uint64_t n = 0; n < 10; ++n) {
            candidates.push_back({ upstreamNumber(n) });
            load.noteReport(report(n, 1), start);
        }
        upstream::LeastInFlightSelector least(load, random);
        upstream::JoinIdleQueueSelector idleQueue(load, random);
        std::map<core::UpstreamId, int> counts;
        const auto selectMany = [&](upstream::UpstreamSelector& selector, int count) {
            for (int n = 0; n < count; ++n)
                ++counts[selector.select(candidates, start + 10ms)];
        };

        // Guards against a slow upstream that attracts requests because its report says that it is idle.
        SUBCASE("a report of no load doesn't outweigh own requests in flight")
        {
            load.noteReport(report(0, 0), start);
            for (int n = 0; n < 5; ++n)
                load.noteStarted(upstreamNumber(0));
            selectMany(least, 100);
            CHECK(counts[upstreamNumber(0)] == 0);
            counts.clear();
            selectMany(idleQueue, 1000);
            CHECK(counts[upstreamNumber(0)] <= 20);
        }
        // Guards against herd behaviour: all balancers select the same upstream after its report or its join.
        SUBCASE("an upstream doesn't get most requests after its report or its join")
        {
            selectMany(least, 100);
            load.noteReport(report(0, 0), start);
            candidates.push_back({ upstreamNumber(10) });
            counts.clear();
            selectMany(least, 110);
            CHECK(counts[upstreamNumber(0)] <= 12);
            CHECK(counts[upstreamNumber(10)] <= 12);
            counts.clear();
            selectMany(idleQueue, 1100);
            // Two random candidates: at most twice the fair share.
            CHECK(counts[upstreamNumber(0)] <= 250);
        }
        SUBCASE("a new upstream gets requests in proportion to its share")
        {
            candidates[0].share = 0.1;
            selectMany(least, 910);
            CHECK(counts[upstreamNumber(0)] >= 8);
            CHECK(counts[upstreamNumber(0)] <= 12);
        }
        SUBCASE("join-idle-queue prefers an upstream for a short time after its response")
        {
            idleQueue.noteAnswer(upstreamNumber(7), start);
            CHECK(idleQueue.select(candidates, start + 10ms) == upstreamNumber(7));
            for (int n = 0; n < 100; ++n)
                idleQueue.noteAnswer(upstreamNumber(7), start);
            for (int n = 0; n < 100; ++n)
                ++counts[idleQueue.select(candidates, start + 10s)];
            CHECK(counts[upstreamNumber(7)] < 50);
        }
        SUBCASE("the weight of a report decays, and a report never exceeds the slots")
        {
            load.noteReport(report(3, 2), start);
            CHECK(load.loadOf(upstreamNumber(3), start) == doctest::Approx(1));
            CHECK(load.loadOf(upstreamNumber(3), start + 300ms) == doctest::Approx(0.5));
            load.noteReport(report(3, 500), start);
            CHECK(load.loadOf(upstreamNumber(3), start) == doctest::Approx(1));
        }
    }
}
