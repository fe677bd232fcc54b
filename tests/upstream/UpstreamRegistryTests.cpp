#include "ibisgw/upstream/OutlierDetector.h"
#include "ibisgw/upstream/UpstreamRegistry.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;
using upstream::Announcement;
using upstream::OutlierDetector;
using upstream::UpstreamRegistry;
using upstream::UpstreamState;

namespace {

const core::TimePoint start { 24h };

core::UpstreamId upstreamNumber(std::uint32_t n)
{
    return core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 });
}

Announcement announcement(std::uint32_t n, core::TimePoint now, core::Incarnation incarnation = 1,
    UpstreamState state = UpstreamState::Ready, const core::ZoneName& zone = "a")
{
    return { upstreamNumber(n), "slotdesk", zone, incarnation,
        static_cast<std::uint64_t>(now.time_since_epoch().count()), state, 2 };
}

} // namespace

TEST_SUITE("upstream")
{
    TEST_CASE("upstream registry")
    {
        UpstreamRegistry registry;
        auto now = start;
        const auto announce = [&](std::uint32_t from, std::uint32_t to, core::Duration duration) {
            for (const auto end = now + duration; now < end; now += 1s) {
                for (auto n = from; n < to; ++n)
                    registry.apply(announcement(n, now), now);
                registry.removeExpired(now);
            }
        };
        announce(0, 4, 40s);
        REQUIRE(registry.eligible("slotdesk").size() == 4);

        SUBCASE("an upstream that falls silent expires, the others stay")
        {
            announce(1, 4, 12s);
            CHECK(!registry.find(upstreamNumber(0)));
            CHECK(registry.records().size() == 3);
        }
        // Guards against an empty view when this balancer itself is cut off.
        SUBCASE("the last view stays when nothing is heard from anyone")
        {
            for (int n = 0; n < 120; ++n)
                registry.removeExpired(now += 1s);
            CHECK(registry.eligible("slotdesk").size() == 4);
            CHECK(registry.newWorkShare(upstreamNumber(0), now) == 1);
            CHECK(!registry.isZoneCutOff("a", now));
            // The first announcement after the cut must not expire those that come a moment later.
            registry.apply(announcement(0, now), now);
            registry.removeExpired(now);
            CHECK(registry.records().size() == 4);
        }
        // Guards against flows of another zone that are reset while the zones are cut off from each other.
        SUBCASE("the upstreams of a zone that is cut off are kept without new work")
        {
            for (std::uint32_t n = 10; n < 13; ++n)
                registry.apply(announcement(n, now, 1, UpstreamState::Ready, "b"), now);
            announce(0, 4, 60s);
            CHECK(registry.find(upstreamNumber(10)));
            CHECK(registry.isZoneCutOff("b", now));
            CHECK(!registry.isZoneCutOff("a", now));
        }
        // Guards against old news that arrives late.
        SUBCASE("older incarnations and sequences are refused")
        {
            CHECK(registry.apply(announcement(0, now, 2), now));
            CHECK(!registry.apply(announcement(0, now + 5s, 1), now));
            CHECK(!registry.apply(announcement(0, now - 5s, 2), now));
        }
        // Guards against an upstream that restarts all the time and fails each flow it gets.
        SUBCASE("readmission after flaps takes longer each time")
        {
            core::Duration previous = 0s;
            for (core::Incarnation n = 2; n < 6; ++n) {
                registry.apply(announcement(0, now, n), now);
                core::Duration delay = 0s;
                while (registry.newWorkShare(upstreamNumber(0), now + delay) == 0)
                    delay += 100ms;
                CHECK(delay > previous);
                previous = delay;
                now += 1s;
            }
            CHECK(previous >= 16s);
            CHECK(previous <= UpstreamRegistry::longestReadmissionDelay);
        }
        SUBCASE("a planned restart is no flap")
        {
            registry.apply(announcement(0, now, 1, UpstreamState::Draining), now);
            now += 1s;
            registry.apply(announcement(0, now, 2), now);
            CHECK(registry.newWorkShare(upstreamNumber(0), now) > 0);
        }
        // Guards against a cold upstream that is overwhelmed.
        SUBCASE("a new upstream's share grows")
        {
            registry.apply(announcement(9, now), now);
            CHECK(registry.newWorkShare(upstreamNumber(9), now) == doctest::Approx(0.1));
            CHECK(registry.newWorkShare(upstreamNumber(9), now + 15s) == doctest::Approx(0.5));
            CHECK(registry.newWorkShare(upstreamNumber(9), now + 30s) == 1);
        }
        SUBCASE("a draining upstream gets nothing at once")
        {
            registry.apply(announcement(0, now, 1, UpstreamState::Draining), now);
            CHECK(registry.newWorkShare(upstreamNumber(0), now) == 0);
            CHECK(registry.find(upstreamNumber(0)));
        }
    }

    TEST_CASE("outlier ejection")
    {
        OutlierDetector detector;
        std::vector<core::UpstreamId> all;
        for (std::uint32_t n = 0; n < 4; ++n)
            all.push_back(upstreamNumber(n));
        auto now = start;
        const auto work = [&](std::uint32_t firstAnswering) {
            for (int n = 0; n < 40; ++n, now += 100ms) {
                for (std::uint32_t it = 0; it < 4; ++it) {
                    if (!detector.isEjected(all[it], now))
                        detector.noteForwarded(all[it], now);
                    if (it >= firstAnswering)
                        detector.noteAnswer(all[it], now);
                }
                detector.update(all, now);
            }
        };
        const auto ejected
            = [&] { return std::ranges::count_if(all, [&](auto it) { return detector.isEjected(it, now); }); };
        // Guards against new work for an upstream that announces itself but is stuck.
        SUBCASE("one that does not answer is ejected, and returns with its first answer")
        {
            work(1);
            CHECK(detector.isEjected(all[0], now));
            CHECK(ejected() == 1);
            detector.noteAnswer(all[0], now);
            CHECK(!detector.isEjected(all[0], now));
        }
        // Guards against the rest being overloaded because most are ejected.
        SUBCASE("at most half are ejected")
        {
            work(3);
            CHECK(ejected() == 2);
        }
        // Guards against a balancer that ejects everything because it is itself cut off.
        SUBCASE("none is ejected when none answers")
        {
            work(4);
            CHECK(ejected() == 0);
        }
    }
}
