#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/direct/FlowForwarder.h"
#include "ibisgw/direct/LeastWorkSelector.h"

#include <benchmark/benchmark.h>

using namespace ibisgw;
using namespace ibisgw::direct;
using namespace std::chrono_literals;

namespace {

const core::Endpoint serviceAddress { 0xc6120001, 443 };
constexpr std::int64_t upstreamsPerService = 9;

upstream::InstanceReport reportOf(std::int64_t n)
{
    upstream::InstanceReport report;
    report.id = { static_cast<std::uint64_t>(n) + 1 };
    report.incarnation = 1000;
    report.sequence = 1;
    report.service = "service-" + std::to_string(n / upstreamsPerService);
    report.zone = "a";
    report.address = { static_cast<std::uint32_t>(0x0a000001 + n), 8080 };
    report.slots = 2;
    return report;
}

// Time to place a new flow of one of many services, by the number of upstreams of all services.
void placeNewFlow(benchmark::State& state)
{
    core::PcgRandomSource random(1);
    upstream::InstanceDirectory directory;
    core::TimePoint now { 24h };
    for (std::int64_t n = 0; n < state.range(0); ++n)
        directory.apply(reportOf(n), {}, now);
    const LeastWorkSelector selector { 1 };
    FlowForwarder forwarder({ "a" }, directory, selector, random);
    auto configuration = std::make_shared<RouteConfiguration>();
    configuration->version = 1;
    configuration->services = { { "service-0" } };
    configuration->routes.push_back(
        { "r", serviceAddress, RouteKind::Idempotent, 1, 1500ms, 100ms, { { "service-0", 1 } } });
    forwarder.apply(configuration, now);
    FlowSegment segment;
    segment.flow = { { 0x64400001, 1024 }, serviceAddress };
    segment.isOpening = true;
    for (auto _ : state) {
        ++segment.flow.caller.address;
        now += 10ms;
        benchmark::DoNotOptimize(forwarder.handle(segment, now));
        forwarder.tick(now);
    }
}

BENCHMARK(placeNewFlow)->Arg(18)->Arg(300)->Arg(4100);

} // namespace
