#include "ibisgw/direct/ResponseMonitor.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::direct;
using namespace std::chrono_literals;

namespace {

constexpr upstream::InstanceId id { 7 };
constexpr core::TimePoint start { 100s };

} // namespace

TEST_SUITE("direct")
{
    TEST_CASE("upstreams that stop responding while callers retransmit packets")
    {
        LinkCongestion congestion;
        ResponseMonitor monitor { congestion };
        CHECK(monitor.takeProbes(start).empty());
        monitor.noteRetransmission(id, start);
        REQUIRE(monitor.takeProbes(start).size() == 1);
        // At most one probe is outstanding.
        CHECK(monitor.takeProbes(start + 10ms).empty());

        SUBCASE("two failed probes make the upstream unresponsive, a single one doesn't, since a probe may be lost")
        {
            monitor.noteProbe(id, ProbeResult::NoAnswer, start + 125ms);
            CHECK_FALSE(monitor.isUnresponsive(id));
            REQUIRE(monitor.takeProbes(start + 125ms).size() == 1);
            monitor.noteProbe(id, ProbeResult::NoAnswer, start + 250ms);
            CHECK(monitor.isUnresponsive(id));

            SUBCASE("it is probed again until it answers")
            {
                CHECK(monitor.takeProbes(start + 300ms).empty());
                CHECK(monitor.takeProbes(start + 1300ms).size() == 1);
                monitor.noteProbe(id, ProbeResult::Answered, start + 1310ms);
                CHECK_FALSE(monitor.isUnresponsive(id));
            }
            SUBCASE("it is probed with exponential backoff, but at once when it sends a report")
            {
                auto now = start + 250ms;
                std::size_t probes = 0;
                for (int n = 0; n < 60; ++n) {
                    now += 1s;
                    for (const auto& it : monitor.takeProbes(now)) {
                        monitor.noteProbe(it, ProbeResult::NoAnswer, now);
                        ++probes;
                    }
                }
                CHECK(probes >= 6);
                CHECK(probes <= 12);
                monitor.noteReporting(id, now += 100ms);
                CHECK(monitor.takeProbes(now).size() == 1);
            }
            SUBCASE("progress of any of its flows makes it responsive again")
            {
                monitor.noteProgress(id);
                CHECK_FALSE(monitor.isUnresponsive(id));
            }
        }
        SUBCASE("a slow upstream that answers the probe doesn't become unresponsive and is probed again after 500 ms")
        {
            monitor.noteProbe(id, ProbeResult::Answered, start + 5ms);
            CHECK_FALSE(monitor.isUnresponsive(id));
            monitor.noteRetransmission(id, start + 10ms);
            CHECK(monitor.takeProbes(start + 20ms).empty());
            CHECK(monitor.takeProbes(start + 600ms).size() == 1);
        }
        // Guards against hundreds of probes a second while most upstreams of a large service are silent.
        SUBCASE("probes whose result is ignored are repeated with exponential backoff")
        {
            auto now = start;
            std::size_t probes = 0;
            for (int n = 0; n < 400; ++n) {
                now += 25ms;
                monitor.noteRetransmission(id, now);
                monitor.discardProbe(id, now);
                probes += monitor.takeProbes(now).empty() ? 0 : 1;
            }
            CHECK(probes >= 3);
            CHECK(probes <= 6);
            CHECK_FALSE(monitor.isUnresponsive(id));
        }
        SUBCASE("a failed probe does not count after progress")
        {
            // Guards against resetting the flows of an upstream whose listen queue was briefly full.
            monitor.noteProgress(id);
            monitor.noteProbe(id, ProbeResult::NoAnswer, start + 125ms);
            monitor.noteRetransmission(id, start + 130ms);
            REQUIRE(monitor.takeProbes(start + 130ms).size() == 1);
            monitor.noteProbe(id, ProbeResult::NoAnswer, start + 255ms);
            CHECK_FALSE(monitor.isUnresponsive(id));
        }
        SUBCASE("the results of probes that were outstanding while the process was suspended are ignored")
        {
            monitor.discardProbes();
            monitor.noteProbe(id, ProbeResult::NoAnswer, start + 4s);
            CHECK_FALSE(monitor.isUnresponsive(id));
        }
        SUBCASE("an upstream without further retransmissions isn't suspected any more")
        {
            monitor.noteProbe(id, ProbeResult::NoAnswer, start + 125ms);
            CHECK(monitor.takeProbes(start + 3s).empty());
        }
    }
}
