#include "support/ConfigurationSchedule.h"

#include <doctest/doctest.h>

using namespace ibisgw::configuration;
using namespace support;

namespace {

struct Totals {
    std::size_t accepted { 0 };
    std::size_t conflicts { 0 };
    std::size_t lostDisks { 0 };
    std::size_t gone { 0 };
    std::size_t stuck { 0 };
};

// Checks the schedules of consecutive seeds. The caller compares the totals with lower limits, which guard against
// schedules that no longer exercise what they are meant for.
Totals checkSchedules(std::uint64_t firstSeed, std::uint64_t count, MembershipMode mode,
    DiskLosses diskLosses = DiskLosses::LeaveMajority, Replacements replacements = Replacements::None)
{
    Totals totals;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + count; ++seed) {
        const auto result = runConfigurationSchedule(seed, {}, mode, diskLosses, replacements);
        CAPTURE(seed);
        CHECK_MESSAGE(result.violations.empty(), result.firstViolation);
        CHECK(result.hasRecovered);
        totals.accepted += result.accepted;
        totals.conflicts += result.conflicts;
        totals.lostDisks += result.lostDisks;
        totals.gone += result.gone;
        totals.stuck += !result.hasRecovered;
    }
    MESSAGE("accepted ", totals.accepted, ", conflicts ", totals.conflicts, ", lost disks ", totals.lostDisks,
        ", gone ", totals.gone, ", stuck ", totals.stuck);
    return totals;
}

} // namespace

TEST_SUITE("configuration")
{
    // Guards against lost or reverted revisions and groups that do not recover after random faults.
    TEST_CASE("nothing accepted is lost in 1,000 schedules of faults")
    {
        const auto totals = checkSchedules(1, 1000, MembershipMode::Listed);
        CHECK(totals.accepted > 10'000);
        CHECK(totals.conflicts > 1'000);
        CHECK(totals.lostDisks > 200);
    }

    // Guards against a group that loses accepted revisions when it removes and readmits controllers automatically.
    TEST_CASE("nothing accepted is lost in 500 schedules of faults with an open membership")
    {
        const auto totals = checkSchedules(20'001, 500, MembershipMode::Open);
        CHECK(totals.accepted > 5'000);
        CHECK(totals.lostDisks > 100);
    }

    // Guards against two leaders, lost revisions and groups that never recover when quorums include a voter that has
    // lost its disk.
    TEST_CASE("nothing accepted is lost in 500 schedules in which an even number of voters loses one disk more")
    {
        const auto totals = checkSchedules(40'001, 500, MembershipMode::Open, DiskLosses::LeaveQuorum);
        CHECK(totals.accepted > 5'000);
        CHECK(totals.lostDisks > 500);
    }

    // Guards against the same when votes pass from controllers to their successors.
    TEST_CASE("nothing accepted is lost in 500 schedules in which controllers are replaced")
    {
        const auto totals
            = checkSchedules(60'001, 500, MembershipMode::Open, DiskLosses::LeaveMajority, Replacements::InEachZone);
        CHECK(totals.accepted > 2'000);
        CHECK(totals.lostDisks > 100);
        CHECK(totals.gone > 300);
    }

    // Guards against a group that stops for good, because the only controller whose log is up to date has given its
    // vote away in an entry that is not committed, and refuses its vote to the others.
    TEST_CASE("a controller whose demotion is not known to be committed may be elected")
    {
        for (const std::uint64_t seed : { 300'821, 305'168, 310'272 })
            checkSchedules(seed, 1, MembershipMode::Open, DiskLosses::LeaveMajority, Replacements::InEachZone);
    }
}
