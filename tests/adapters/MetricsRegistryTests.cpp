#include "ibisgw/adapters/MetricsRegistry.h"

#include "ibisgw/core/PcgRandomSource.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;

TEST_SUITE("adapters")
{
    TEST_CASE("metrics are rendered in the Prometheus text format")
    {
        adapters::MetricsRegistry registry;
        registry.counter("ibisgw_resets_total", "Flows refused", { { "service", "a\"b\\c\n" } }) += 2;
        registry.counter("ibisgw_resets_total", "Flows refused", { { "service", "x" } }) = 1;
        registry.gauge("ibisgw_flows_open", "Open flows") = 1.5;
        registry.latency("ibisgw_open_seconds", "Time to open", { { "zone", "a" } }).record(250ms);

        // An unescaped label value would make Prometheus reject the whole scrape.
        CHECK(registry.render()
            == "# HELP ibisgw_resets_total Flows refused\n# TYPE ibisgw_resets_total counter\n"
               "ibisgw_resets_total{service=\"a\\\"b\\\\c\\n\"} 2\nibisgw_resets_total{service=\"x\"} 1\n"
               "# HELP ibisgw_flows_open Open flows\n# TYPE ibisgw_flows_open gauge\nibisgw_flows_open 1.5\n"
               "# HELP ibisgw_open_seconds Time to open\n# TYPE ibisgw_open_seconds histogram\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.001\"} 0\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.0025\"} 0\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.005\"} 0\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.01\"} 0\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.025\"} 0\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.05\"} 0\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.1\"} 0\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.25\"} 1\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"0.5\"} 1\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"1\"} 1\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"2.5\"} 1\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"5\"} 1\n"
               "ibisgw_open_seconds_bucket{zone=\"a\",le=\"+Inf\"} 1\n"
               "ibisgw_open_seconds_sum{zone=\"a\"} 0.25\nibisgw_open_seconds_count{zone=\"a\"} 1\n");
    }

    TEST_CASE("references to a metric stay valid while other metrics are added")
    {
        adapters::MetricsRegistry registry;
        auto& counter = registry.counter("first", "");
        for (int n = 0; n < 1000; ++n)
            registry.counter("metric_" + std::to_string(n), "");
        counter = 7;
        CHECK(&registry.counter("first", "") == &counter);
    }

    TEST_CASE("the buckets of a histogram are cumulative")
    {
        adapters::LatencyHistogram histogram;
        constexpr std::size_t tenMilliseconds = 3;
        SUBCASE("a bucket includes durations that equal its bound")
        {
            histogram.record(10ms);
            CHECK(histogram.countUpTo(tenMilliseconds - 1) == 0);
            CHECK(histogram.countUpTo(tenMilliseconds) == 1);
        }
        SUBCASE("durations above the last bound are counted, and negative durations count as zero")
        {
            histogram.record(1h);
            histogram.record(-1ms);
            CHECK(histogram.countUpTo(adapters::LatencyHistogram::upperBounds.size() - 1) == 1);
            CHECK(histogram.count() == 2);
        }
        SUBCASE("many durations in random order are counted exactly")
        {
            core::PcgRandomSource random(3);
            std::uint64_t expected = 0;
            for (int n = 0; n < 100'000; ++n) {
                const auto it = std::chrono::microseconds(random.below(20'000));
                expected += it <= 10ms ? 1 : 0;
                histogram.record(it);
            }
            CHECK(histogram.countUpTo(tenMilliseconds) == expected);
            CHECK(histogram.count() == 100'000);
        }
    }
}
