#include "FaultMeasures.h"

#include "support/FaultSchedule.h"

#include <cstdlib>
#include <map>

namespace bench {

namespace {

// Number of fault schedules: 1,000, or the value of the environment variable IBISGW_FAULT_SCHEDULES. To replay only the
// failed seed N, run `IBISGW_FAULT_SCHEDULES=1 ibisgw-bench --filter duplicate_executions --seed N`.
std::uint64_t scheduleCount()
{
    const char* text = std::getenv("IBISGW_FAULT_SCHEDULES");
    return text ? std::strtoull(text, nullptr, 10) : 1000;
}

struct FaultRun {
    support::FaultTotals totals;
    // The first few seeds whose schedule has a violation, so that one of them can be replayed alone.
    std::vector<std::uint64_t> failedSeeds;
};

// Runs the schedules of consecutive seeds, of which the seed of the command line is the first. The result is cached, as
// the four measures share one run.
const FaultRun& cachedFaultRun(std::uint64_t firstSeed)
{
    constexpr std::size_t maxFailedSeeds = 5;
    static std::map<std::uint64_t, FaultRun> runs;
    const auto [it, isNew] = runs.try_emplace(firstSeed);
    if (!isNew)
        return it->second;
    auto& run = it->second;
    const auto count = scheduleCount();
    for (std::uint64_t n = 0; n < count; ++n) {
        support::FaultScheduleOptions options;
        options.seed = firstSeed + n;
        const auto totals = support::runFaultSchedule(options);
        run.totals.add(totals);
        if (!totals.isClean() && run.failedSeeds.size() < maxFailedSeeds)
            run.failedSeeds.push_back(options.seed);
    }
    return run;
}

void addMeasure(MeasureList& measures, const char* name, const char* unit, std::uint64_t support::FaultTotals::*count)
{
    measures.push_back({ name, unit, true, [count](std::uint64_t seed) {
                            const auto& run = cachedFaultRun(seed);
                            MeasureResult result;
                            result.value = static_cast<double>(run.totals.*count);
                            result.bound = 0;
                            result.details = {
                                { "schedules", scheduleCount() },
                                { "requests", run.totals.requests },
                                { "answered", run.totals.answered },
                                { "not_run", run.totals.notRun },
                                { "outcome_unknown", run.totals.outcomeUnknown },
                                { "failed_seeds", run.failedSeeds },
                            };
                            return result;
                        } });
}

} // namespace

void addFaultMeasures(MeasureList& measures)
{
    addMeasure(measures, "duplicate_executions", "count", &support::FaultTotals::duplicateExecutions);
    addMeasure(measures, "false_not_run", "count", &support::FaultTotals::falseNotRun);
    addMeasure(measures, "misrouted_packets", "count", &support::FaultTotals::misroutedPackets);
    addMeasure(measures, "crossed_answers", "count", &support::FaultTotals::crossedAnswers);
}

} // namespace bench
