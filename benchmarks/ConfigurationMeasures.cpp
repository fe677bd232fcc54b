#include "Measures.h"

#include "ibisgw/core/PcgRandomSource.h"
#include "support/ConfigurationSchedule.h"
#include "support/FileControllers.h"

#include <algorithm>
#include <chrono>

namespace bench {

namespace {

using namespace ibisgw;
using namespace std::chrono_literals;

constexpr std::uint64_t scheduleCount = 1000;
constexpr std::uint64_t changeCount = 1000;

// Number of violations of the given kinds in 1,000 schedules of changes and faults. A schedule that does not recover
// counts as a violation, so that a group which accepts nothing cannot pass.
MeasureResult countViolations(std::uint64_t seed, const std::vector<support::ViolationKind>& kinds)
{
    MeasureResult result;
    std::size_t accepted = 0;
    std::size_t notRecovered = 0;
    for (std::uint64_t n = 0; n < scheduleCount; ++n) {
        const auto schedule = support::runConfigurationSchedule(seed * scheduleCount + n);
        for (const auto it : kinds)
            result.value += static_cast<double>(schedule.count(it));
        accepted += schedule.accepted;
        notRecovered += schedule.hasRecovered ? 0 : 1;
    }
    result.value += static_cast<double>(notRecovered);
    result.details = { { "schedules", scheduleCount }, { "accepted", accepted }, { "stuck", notRecovered } };
    return result;
}

// Longest time from the crash of the leader to the acceptance of a change, over 200 crashes in groups of 3 and 5. The
// change is submitted every 50 ms until it is accepted.
MeasureResult measureFailover(std::uint64_t seed)
{
    constexpr int deaths = 200;
    core::PcgRandomSource random(seed);
    std::vector<double> seconds;
    for (int n = 0; n < deaths; ++n) {
        support::MessageQueue queue({ 1ms, 3ms, 0.01, 0.0 }, random);
        support::ControllerGroup group(n % 2 ? 3 : 5, {}, queue, random);
        group.startAll();
        group.runUntilComplete(30s);
        queue.runFor(core::Duration(random.below(1'000'000)));
        const auto crashTime = queue.now();
        if (const auto leader = group.acceptingLeader())
            group.kill(leader);
        bool isAccepted = false;
        for (int attempt = 0; !isAccepted && queue.now() - crashTime < 30s; ++attempt) {
            queue.runFor(50ms);
            const auto leader = group.acceptingLeader();
            if (leader == 0)
                continue;
            const auto base = group.service(leader).newestCommitted().revision;
            const configuration::Submission change { std::to_string(attempt), "operator", base, "{}" };
            group.submit(leader, change);
            group.runUntil([&] { return group.service(leader).outcomeOf(change.id).isFinal(); }, 50ms);
            isAccepted = group.service(leader).outcomeOf(change.id).kind == configuration::OutcomeKind::Accepted;
        }
        seconds.push_back(core::toSeconds(queue.now() - crashTime));
    }
    std::ranges::sort(seconds);
    MeasureResult result { .value = seconds.back(), .bound = 3.0 };
    result.details = { { "median", seconds[seconds.size() / 2] }, { "deaths", deaths } };
    return result;
}

// Starts the controllers and makes 1,000 changes; false if a controller does not start or a change is not accepted.
bool makeManyChanges(support::FileControllers& controllers)
{
    for (support::FileControllers::Machine machine = 1; machine <= support::FileControllers::count; ++machine) {
        if (!controllers.start(machine))
            return false;
    }
    for (std::uint64_t n = 1; n <= changeCount; ++n) {
        if (!controllers.change(support::sampleDocument(n)))
            return false;
    }
    return true;
}

// Wall time from the restart of a controller until it has the newest revision. The wait for the other two controllers
// passes in virtual time, which is reported separately as `virtual_s`.
MeasureResult measureRestart(std::uint64_t seed)
{
    support::FileControllers controllers(seed);
    MeasureResult result { .value = 1e9, .bound = 1.0 };
    if (!makeManyChanges(controllers))
        return result;
    controllers.stop(1);
    const auto restartTime = std::chrono::steady_clock::now();
    if (!controllers.start(1))
        return result;
    const auto loadedTime = std::chrono::steady_clock::now();
    const auto virtualStart = controllers.now();
    if (!controllers.runUntil([&] { return controllers.service(1).newestCommitted().revision == changeCount; }))
        return result;
    const auto seconds = [](auto duration) { return std::chrono::duration<double>(duration).count(); };
    result.value = seconds(std::chrono::steady_clock::now() - restartTime);
    result.details = { { "load_s", seconds(loadedTime - restartTime) },
        { "virtual_s", core::toSeconds(controllers.now() - virtualStart) } };
    return result;
}

// Bytes of the largest data folder of the three controllers after 1,000 changes.
MeasureResult measureDataFolder(std::uint64_t seed)
{
    constexpr double bound = 4.0 * 1024 * 1024;
    support::FileControllers controllers(seed);
    MeasureResult result { .value = 1e9, .bound = bound };
    if (!makeManyChanges(controllers))
        return result;
    std::size_t largest = 0;
    for (support::FileControllers::Machine machine = 1; machine <= support::FileControllers::count; ++machine)
        largest = std::max(largest, controllers.folderBytes(machine));
    result.value = static_cast<double>(largest);
    result.details = { { "document_bytes", support::sampleDocument(changeCount).size() } };
    return result;
}

} // namespace

void addConfigurationMeasures(MeasureList& measures)
{
    using support::ViolationKind;
    measures.push_back({ "config_lost", "count", true, [](std::uint64_t seed) {
                            return countViolations(
                                seed, { ViolationKind::Lost, ViolationKind::TwoLeaders, ViolationKind::LogMismatch });
                        } });
    measures.push_back({ "config_reverts", "count", true,
        [](std::uint64_t seed) { return countViolations(seed, { ViolationKind::Reverted }); } });
    measures.push_back({ "config_double_outcome", "count", true, [](std::uint64_t seed) {
                            return countViolations(seed, { ViolationKind::DoubleOutcome, ViolationKind::LostUpdate });
                        } });
    measures.push_back({ "leader_failover_s", "s", true, measureFailover });
    measures.push_back({ "restart_after_1000_changes_s", "s", false, measureRestart });
    measures.push_back({ "data_folder_bytes", "bytes", true, measureDataFolder });
}

} // namespace bench
