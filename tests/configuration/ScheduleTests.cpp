#include "support/ConfigurationSchedule.h"

#include <doctest/doctest.h>

using namespace ibisgw::configuration;
using namespace support;

TEST_SUITE("configuration")
{
    // Guards against lost or reverted revisions and groups that do not recover after random faults.
    TEST_CASE("nothing accepted is lost in 1,000 schedules of faults")
    {
        std::size_t accepted = 0;
        std::size_t conflicts = 0;
        std::size_t lostDisks = 0;
        std::size_t stuck = 0;
        for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
            const auto result = runConfigurationSchedule(seed);
            CAPTURE(seed);
            CHECK_MESSAGE(result.violations.empty(), result.firstViolation);
            CHECK(result.hasRecovered);
            accepted += result.accepted;
            conflicts += result.conflicts;
            lostDisks += result.lostDisks;
            stuck += !result.hasRecovered;
        }
        // Guards against schedules that no longer exercise conflicts and lost disks.
        MESSAGE("accepted ", accepted, ", conflicts ", conflicts, ", lost disks ", lostDisks, ", stuck ", stuck);
        CHECK(accepted > 10'000);
        CHECK(conflicts > 1'000);
        CHECK(lostDisks > 200);
    }

    // Guards against a group that loses accepted revisions when it removes and readmits controllers automatically.
    TEST_CASE("nothing accepted is lost in 500 schedules of faults with an open membership")
    {
        constexpr std::uint64_t firstSeed = 20'001;
        std::size_t accepted = 0;
        std::size_t lostDisks = 0;
        for (std::uint64_t seed = firstSeed; seed < firstSeed + 500; ++seed) {
            const auto result = runConfigurationSchedule(seed, {}, MembershipMode::Open);
            CAPTURE(seed);
            CHECK_MESSAGE(result.violations.empty(), result.firstViolation);
            CHECK(result.hasRecovered);
            accepted += result.accepted;
            lostDisks += result.lostDisks;
        }
        MESSAGE("accepted ", accepted, ", lost disks ", lostDisks);
        CHECK(accepted > 5'000);
        CHECK(lostDisks > 100);
    }

    // Guards against two leaders, lost revisions and groups that never recover when quorums include a voter that has
    // lost its disk.
    TEST_CASE("nothing accepted is lost in 500 schedules in which an even number of voters loses one disk more")
    {
        constexpr std::uint64_t firstSeed = 40'001;
        std::size_t accepted = 0;
        std::size_t lostDisks = 0;
        for (std::uint64_t seed = firstSeed; seed < firstSeed + 500; ++seed) {
            const auto result = runConfigurationSchedule(seed, {}, MembershipMode::Open, DiskLosses::LeaveQuorum);
            CAPTURE(seed);
            CHECK_MESSAGE(result.violations.empty(), result.firstViolation);
            CHECK(result.hasRecovered);
            accepted += result.accepted;
            lostDisks += result.lostDisks;
        }
        MESSAGE("accepted ", accepted, ", lost disks ", lostDisks);
        CHECK(accepted > 5'000);
        CHECK(lostDisks > 500);
    }
}
