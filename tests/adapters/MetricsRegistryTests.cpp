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
        registry.latency("ibisgw_open_seconds", "Time to open").record(250ms);

        // A label value that is not escaped would make the scraper reject the whole page.
        CHECK(registry.render()
            == "# HELP ibisgw_resets_total Flows refused\n# TYPE ibisgw_resets_total counter\n"
               "ibisgw_resets_total{service=\"a\\\"b\\\\c\\n\"} 2\nibisgw_resets_total{service=\"x\"} 1\n"
               "# HELP ibisgw_flows_open Open flows\n# TYPE ibisgw_flows_open gauge\nibisgw_flows_open 1.5\n"
               "# HELP ibisgw_open_seconds Time to open\n# TYPE ibisgw_open_seconds summary\n"
               "ibisgw_open_seconds{quantile=\"0.5\"} 0.25\nibisgw_open_seconds{quantile=\"0.9\"} 0.25\n"
               "ibisgw_open_seconds{quantile=\"0.99\"} 0.25\n"
               "ibisgw_open_seconds_sum 0.25\nibisgw_open_seconds_count 1\n");
    }

    TEST_CASE("a metric keeps its place while others are added, because daemons hold references")
    {
        adapters::MetricsRegistry registry;
        auto& counter = registry.counter("first", "");
        for (int n = 0; n < 1000; ++n)
            registry.counter("metric_" + std::to_string(n), "");
        counter = 7;
        CHECK(&registry.counter("first", "") == &counter);
    }

    TEST_CASE("quantiles")
    {
        adapters::LatencyQuantiles latency;
        SUBCASE("are exact for few samples, where the estimate would return unsorted values")
        {
            for (const auto it : { 9ms, 1ms, 5ms })
                latency.record(it);
            CHECK(latency.quantile(0) == doctest::Approx(0.005));
            CHECK(latency.quantile(2) == doctest::Approx(0.009));
        }
        SUBCASE("are close to the true ones for many samples in random order")
        {
            core::PcgRandomSource random(3);
            for (int n = 0; n < 100'000; ++n)
                latency.record(std::chrono::microseconds(random.below(1'000'000)));
            for (std::size_t n = 0; n < 3; ++n)
                CHECK(
                    latency.quantile(n) == doctest::Approx(adapters::LatencyQuantiles::probabilities[n]).epsilon(0.02));
            CHECK(latency.count() == 100'000);
        }
    }
}
