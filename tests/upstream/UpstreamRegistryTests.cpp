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

        SUBCASE("an upstream that stops sending announcements expires, the others stay")
        {
            announce(1, 4, 12s);
            CHECK(!registry.find(upstreamNumber(0)));
            CHECK(registry.records().size() == 3);
        }
        // Guards against an empty registry when this balancer itself is partitioned.
        SUBCASE("all upstreams stay when no announcements arrive from any zone")
        {
            for (int n = 0; n < 120; ++n)
                registry.removeExpired(now += 1s);
            CHECK(registry.eligible("slotdesk").size() == 4);
            CHECK(registry.newWorkShare(upstreamNumber(0), now) == 1);
            CHECK(!registry.isZoneCutOff("a", now));
            // The first announcement after the partition must not expire upstreams whose announcements follow soon.
            registry.apply(announcement(0, now), now);
            registry.removeExpired(now);
            CHECK(registry.records().size() == 4);
        }
        // Guards against resets of flows to another zone while the zones are partitioned.
        SUBCASE("the upstreams of a partitioned zone are kept, and the zone counts as cut off")
        {
            for (std::uint32_t n = 10; n < 13; ++n)
                registry.apply(announcement(n, now, 1, UpstreamState::Ready, "b"), now);
            announce(0, 4, 60s);
            CHECK(registry.find(upstreamNumber(10)));
            CHECK(registry.isZoneCutOff("b", now));
            CHECK(!registry.isZoneCutOff("a", now));
        }
        // Guards against late announcements that replace newer ones.
        SUBCASE("announcements with an older incarnation or sequence are ignored")
        {
            CHECK(registry.apply(announcement(0, now, 2), now));
            CHECK(!registry.apply(announcement(0, now + 5s, 1), now));
            CHECK(!registry.apply(announcement(0, now - 5s, 2), now));
        }
        // Guards against new work on an upstream in a crash loop, where each flow fails.
        SUBCASE("the readmission delay increases with each flap")
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
            CHECK(previous <= UpstreamRegistry::maxReadmissionDelay);
        }
        SUBCASE("a planned restart doesn't count as a flap")
        {
            registry.apply(announcement(0, now, 1, UpstreamState::Draining), now);
            now += 1s;
            registry.apply(announcement(0, now, 2), now);
            CHECK(registry.newWorkShare(upstreamNumber(0), now) > 0);
        }
        // Guards against overloading an upstream during its cold start.
        SUBCASE("the share of a new upstream increases during its warm-up")
        {
            registry.apply(announcement(9, now), now);
            CHECK(registry.newWorkShare(upstreamNumber(9), now) == doctest::Approx(0.1));
            CHECK(registry.newWorkShare(upstreamNumber(9), now + 15s) == doctest::Approx(0.5));
            CHECK(registry.newWorkShare(upstreamNumber(9), now + 30s) == 1);
        }
        SUBCASE("a draining upstream gets no new work once its announcement arrives")
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
        SUBCASE("an upstream that doesn't respond is ejected until its first response")
        {
            work(1);
            CHECK(detector.isEjected(all[0], now));
            CHECK(ejected() == 1);
            detector.noteAnswer(all[0], now);
            CHECK(!detector.isEjected(all[0], now));
        }
        // Guards against overloading the remaining upstreams because most are ejected.
        SUBCASE("at most half of the upstreams are ejected")
        {
            work(3);
            CHECK(ejected() == 2);
        }
        // Guards against a partitioned balancer that ejects all upstreams.
        SUBCASE("no upstream is ejected when none responds")
        {
            work(4);
            CHECK(ejected() == 0);
        }
    }
}
