#include "Measures.h"
#include "PlacementScenario.h"

#include <algorithm>

namespace bench {

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

// Runs a scenario and returns the value of the measure.
using ScenarioFunction = std::function<double(PlacementScenarioOptions, nlohmann::json& details)>;

// Runs the same scenario with ibisgw, whose value is the result, and with both baselines, whose values are details.
MeasureResult compareWithBaselines(std::uint64_t seed, double bound, const ScenarioFunction& run)
{
    MeasureResult result;
    result.bound = bound;
    nlohmann::json ignored;
    PlacementScenarioOptions options;
    options.seed = seed;
    result.value = run(options, result.details);
    options.algorithm = PlacementAlgorithm::Hash;
    result.details["baseline_hash"] = run(options, ignored);
    options.algorithm = PlacementAlgorithm::Local;
    result.details["baseline_local"] = run(options, ignored);
    return result;
}

// Returns the number of broken streams. Adds to the details how many had a token, and the cost of flow records.
double reportBrokenFlows(PlacementScenario& scenario, nlohmann::json& details)
{
    const auto totals = scenario.callers().totals();
    details["broken_without_token"] = totals.brokenStreamsWithoutToken;
    details["flow_record_bytes_per_s"] = scenario.group().worstFlowRecordBytesPerSecond();
    if (auto* balancer = scenario.group().balancer(4)) {
        details["records"] = balancer->flowRecords().size();
        details["records_gave_way"] = balancer->flowRecords().evictedCount();
    }
    details["broken_with_token"] = totals.brokenStreams - totals.brokenStreamsWithoutToken;
    return static_cast<double>(totals.brokenStreams);
}

// Schedules a restart of one balancer after the other. A balancer has 5 s to finish and time to hand over its flow
// records before it joins again. The next balancer stops while the restarted one still pulls flow records.
void scheduleRollingRestart(PlacementScenario& scenario)
{
    for (unsigned n = 0; n < scenario.group().balancerCount(); ++n) {
        scenario.queue().after(20s * n, [&, n](auto) { scenario.group().stopBalancer(n, 5s); });
        scenario.queue().after(20s * n + 16s, [&, n](auto) { scenario.group().startBalancer(n); });
    }
}

// Schedules a drain of one upstream after the other. Every other drain is cancelled while flows are open; during the
// others the callers close their flows and open new ones, and then the upstream restarts.
void scheduleRollingDrain(PlacementScenario& scenario)
{
    for (unsigned n = 0; n < PlacementScenario::upstreamCount; ++n) {
        scenario.queue().after(20s * n, [&, n](auto) { scenario.upstream(n).drain(); });
        if (n % 2 == 0) {
            scenario.queue().after(20s * n + 15s, [&, n](auto) { scenario.upstream(n).resume(); });
            continue;
        }
        scenario.queue().after(20s * n + 4s, [&, n](auto) {
            core::Duration delay = 0s;
            for (const auto& key : scenario.callers().establishedStreamsOn(scenario.upstream(n).options().id)) {
                scenario.queue().after(delay, [&, key](auto) {
                    scenario.callers().closeStream(key);
                    scenario.callers().openStream(1min, false);
                });
                delay += 3ms;
            }
        });
        scenario.queue().after(20s * n + 15s, [&, n](auto) { scenario.upstream(n).restart(); });
    }
}

double runPlannedChange(const PlacementScenarioOptions& options, nlohmann::json& details)
{
    PlacementScenario scenario(options);
    scenario.openFlows(PlacementScenario::flowCount, 60s);
    scheduleRollingRestart(scenario);
    scenario.runFor(190s);
    scheduleRollingDrain(scenario);
    scenario.runFor(30s);
    scheduleRollingRestart(scenario);
    // Longer than the 10 minutes between packets of a quiet flow, so that each flow sends once after the changes.
    scenario.runFor(620s);
    return reportBrokenFlows(scenario, details);
}

// Kills one balancer, and 20 s later two at once.
double runBalancerKill(const PlacementScenarioOptions& options, nlohmann::json& details)
{
    PlacementScenario scenario(options);
    scenario.openFlows(PlacementScenario::flowCount, 60s);
    scenario.runFor(8min);
    scenario.group().killBalancer(0);
    scenario.runFor(20s);
    scenario.group().killBalancer(1);
    scenario.group().killBalancer(2);
    scenario.runFor(3min);
    return reportBrokenFlows(scenario, details);
}

double runUpstreamKill(const PlacementScenarioOptions& options, nlohmann::json& details)
{
    PlacementScenario scenario(options);
    scenario.openFlows(PlacementScenario::flowCount, 60s);
    scenario.upstream(3).kill();
    scenario.runFor(3min);
    details["broken_on_killed_upstream"] = scenario.callers().totals().brokenStreams
        - scenario.callers().brokenStreamsElsewhere(scenario.upstream(3).options().id);
    return static_cast<double>(scenario.callers().brokenStreamsElsewhere(scenario.upstream(3).options().id));
}

// Worst ratio of the most flows on an upstream to the mean, while flows are replaced.
double runFlowImbalance(const PlacementScenarioOptions& options, nlohmann::json&)
{
    PlacementScenario scenario(options);
    scenario.openFlows(PlacementScenario::flowCount, 60s);
    double worst = 0;
    for (int n = 0; n < 10; ++n) {
        scenario.replaceFlows(static_cast<double>(PlacementScenario::flowCount) / 600, 10s);
        worst = std::max(worst, scenario.worstFlowImbalance());
    }
    return worst;
}

// Work of the busiest upstream above the mean, as a share of its slots; the 99th percentile of all samples. Work counts
// running and waiting requests, as the slots of a busy upstream are always full.
double runBusySlots(const PlacementScenarioOptions& options, nlohmann::json& details)
{
    PlacementScenario scenario(options);
    scenario.startRequests(0.7, 130s);
    scenario.runFor(10s);
    std::vector<double> samples;
    std::vector<double> runningSamples;
    scenario.sample(120s, 50ms, [&] {
        std::size_t total = 0;
        std::size_t most = 0;
        std::size_t running = 0;
        std::size_t mostRunning = 0;
        for (const auto& it : scenario.group().upstreams()) {
            const auto work = it->busySlots() + it->waitingRequests();
            total += work;
            most = std::max(most, work);
            running += it->busySlots();
            mostRunning = std::max(mostRunning, it->busySlots());
        }
        const auto mean = static_cast<double>(total) / PlacementScenario::upstreamCount;
        samples.push_back((static_cast<double>(most) - mean) / PlacementScenario::slotsPerUpstream);
        const auto meanRunning = static_cast<double>(running) / PlacementScenario::upstreamCount;
        runningSamples.push_back(
            (static_cast<double>(mostRunning) - meanRunning) / PlacementScenario::slotsPerUpstream);
    });
    std::ranges::sort(samples);
    std::ranges::sort(runningSamples);
    details["without_waiting"] = runningSamples[runningSamples.size() * 99 / 100];
    const auto totals = scenario.callers().totals();
    details["requests"] = totals.requests;
    details["answered"] = totals.answered;
    return samples[samples.size() * 99 / 100];
}

MeasureResult measureBusySlots(std::uint64_t seed)
{
    auto result = compareWithBaselines(seed, 0, runBusySlots);
    result.bound = result.details["baseline_hash"].get<double>() / 2;
    result.comparison = Comparison::Below;
    PlacementScenarioOptions options;
    options.seed = seed;
    options.usesJoinIdleQueue = true;
    nlohmann::json ignored;
    auto hashOptions = options;
    hashOptions.algorithm = PlacementAlgorithm::Hash;
    hashOptions.usesJoinIdleQueue = false;
    runBusySlots(hashOptions, ignored);
    result.details["without_waiting_hash"] = ignored["without_waiting"];
    result.details["join_idle_queue"] = runBusySlots(options, ignored);
    return result;
}

// Bytes of flow records and their hand-over that a balancer sends or receives in its worst second, while flows open and
// close, balancers restart and upstreams drain.
MeasureResult measureFlowRecordBytes(std::uint64_t seed)
{
    PlacementScenarioOptions options;
    options.seed = seed;
    options.loss = 0.01;
    PlacementScenario scenario(options);
    scenario.openFlows(PlacementScenario::flowCount, 120s);
    scheduleRollingRestart(scenario);
    for (unsigned n = 0; n < 4; ++n) {
        scenario.queue().after(30s * n, [&, n](auto) { scenario.upstream(n).drain(); });
        scenario.queue().after(30s * n + 20s, [&, n](auto) { scenario.upstream(n).resume(); });
    }
    scenario.replaceFlows(static_cast<double>(PlacementScenario::flowCount) / 600, 160s);
    MeasureResult result;
    result.value = static_cast<double>(scenario.group().worstFlowRecordBytesPerSecond());
    result.bound = 4096;
    result.details["records"] = scenario.group().balancer(4)->flowRecords().size();
    return result;
}

// Opens that an upstream with misleading load reports receives, relative to an equal share.
double runMisleadingReports(PlacementScenarioOptions options, nlohmann::json& details)
{
    constexpr unsigned misleadingIndex = 5;
    options.misleadingUpstream = misleadingIndex;
    PlacementScenario scenario(options);
    scenario.startRequests(0.6, 120s);
    scenario.runFor(125s);
    std::uint64_t total = 0;
    for (const auto& it : scenario.group().upstreams())
        total += it->opensReceived();
    details["opens"] = total;
    return static_cast<double>(scenario.upstream(misleadingIndex).opensReceived()) * PlacementScenario::upstreamCount
        / static_cast<double>(total);
}

// Seconds from the start of a drain to the last open that the upstream receives during it; the worst of five drains.
double runDrain(PlacementScenarioOptions options, nlohmann::json&)
{
    options.loss = 0.01;
    PlacementScenario scenario(options);
    scenario.openFlows(2'000, 5s);
    double worst = 0;
    for (unsigned n = 0; n < 5; ++n) {
        scenario.startRequests(0.5, 8s);
        const auto start = scenario.queue().now();
        scenario.upstream(n).drain();
        scenario.replaceFlows(100, 8s);
        if (const auto last = scenario.upstream(n).lastOpenAt(); last && *last > start)
            worst = std::max(worst, core::toSeconds(*last - start));
        scenario.upstream(n).resume();
        scenario.runFor(3s);
    }
    return worst;
}

} // namespace

void addPlacementMeasures(MeasureList& list)
{
    list.push_back({ "planned_change_broken_flows", "flows", true,
        [](auto seed) { return compareWithBaselines(seed, 0, runPlannedChange); } });
    list.push_back({ "balancer_kill_broken_flows", "flows", true,
        [](auto seed) { return compareWithBaselines(seed, 0, runBalancerKill); } });
    list.push_back({ "upstream_kill_broken_flows_elsewhere", "flows", true,
        [](auto seed) { return compareWithBaselines(seed, 0, runUpstreamKill); } });
    list.push_back({ "imbalance_flows", "max/mean", true,
        [](auto seed) { return compareWithBaselines(seed, 1.05, runFlowImbalance); } });
    list.push_back({ "imbalance_busy_slots", "share of slots", true, measureBusySlots });
    list.push_back({ "imbalance_misleading_reports", "share/fair", true,
        [](auto seed) { return compareWithBaselines(seed, 1.1, runMisleadingReports); } });
    list.push_back({ "flow_record_bytes_per_s", "bytes/s", true, measureFlowRecordBytes });
    list.push_back(
        { "drain_new_work_after_s", "s", true, [](auto seed) { return compareWithBaselines(seed, 3, runDrain); } });
    addFlowStateMeasures(list);
}

} // namespace bench
