#include "support/ConfigurationSchedule.h"

#include <doctest/doctest.h>

using namespace ibisgw::configuration;
using namespace support;

namespace {

constexpr std::uint64_t maxSeeds = 1000;

// First seed at which the checks report a violation of one of the kinds; 0 when there is none.
std::uint64_t firstDetectingSeed(const DisabledRules& disabled, const std::vector<ViolationKind>& kinds)
{
    for (std::uint64_t seed = 1; seed <= maxSeeds; ++seed) {
        const auto result = runConfigurationSchedule(seed, disabled);
        for (const auto it : kinds) {
            if (result.count(it) > 0)
                return seed;
        }
    }
    return 0;
}

} // namespace

// Each test disables one safety rule and expects the checks to report a violation. Guards against checks that detect
// nothing, with which the other schedule tests would pass regardless of faults.
TEST_SUITE("configuration")
{
    TEST_CASE("the checks detect each disabled safety rule")
    {
        DisabledRules disabled;
        std::vector<ViolationKind> kinds { ViolationKind::Lost };
        SUBCASE("a vote is sent before it is synced")
        {
            disabled.voteSync = true;
            kinds = { ViolationKind::TwoLeaders };
        }
        SUBCASE("entries are acknowledged before they are synced")
        {
            disabled.entrySync = true;
        }
        SUBCASE("learners vote and count for commits")
        {
            disabled.learnerRestriction = true;
        }
        SUBCASE("a wiped disk keeps its vote")
        {
            disabled.diskIdentity = true;
        }
        SUBCASE("an outdated disk keeps its vote")
        {
            disabled.diskAge = true;
        }
        SUBCASE("a vote is granted to a candidate whose log lacks entries")
        {
            disabled.logComparison = true;
        }
        SUBCASE("a resubmission is treated as new")
        {
            disabled.submissionIdentity = true;
            kinds = { ViolationKind::DoubleOutcome };
        }
        SUBCASE("a read is served without confirming the leadership")
        {
            disabled.readConfirmation = true;
            kinds = { ViolationKind::Reverted };
        }
        const auto seed = firstDetectingSeed(disabled, kinds);
        MESSAGE("detected at seed ", seed);
        CHECK(seed != 0);
    }
}
