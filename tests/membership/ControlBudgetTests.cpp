#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/membership/ControlBudget.h"

#include <deque>
#include <doctest/doctest.h>

using namespace ibisgw;
using membership::ControlBudget;
using membership::Priority;

TEST_SUITE("membership")
{
    TEST_CASE("no window of one second carries more than the budget")
    {
        core::PcgRandomSource random(5);
        ControlBudget budget;
        auto now = core::TimePoint {} + std::chrono::hours(1);
        std::deque<std::pair<core::TimePoint, std::size_t>> sent;
        std::size_t inWindow = 0;
        std::size_t total = 0;
        for (int n = 0; n < 100'000; ++n) {
            now += core::Duration(static_cast<std::int64_t>(random.below(5'000)));
            const auto body = random.below(1340);
            if (!budget.trySpend(static_cast<Priority>(random.below(4)), body, now))
                continue;
            sent.emplace_back(now, body + ControlBudget::overheadBytes);
            inWindow += sent.back().second;
            total += sent.back().second;
            while (sent.front().first < now - std::chrono::seconds(1)) {
                inWindow -= sent.front().second;
                sent.pop_front();
            }
            REQUIRE(inWindow <= 4096);
        }
        CHECK(budget.totalBytes() == total);
    }

    TEST_CASE("each priority leaves a part of the budget to more urgent messages")
    {
        const auto now = core::TimePoint {} + std::chrono::hours(1);
        const auto fill = [now](ControlBudget& budget, Priority priority) {
            while (budget.trySpend(priority, 40, now)) { }
        };
        SUBCASE("configuration")
        {
            ControlBudget budget;
            fill(budget, Priority::Configuration);
            CHECK(budget.trySpend(Priority::Membership, 60, now));
            CHECK(budget.trySpend(Priority::Membership, 60, now));
        }
        SUBCASE("without the reserve, configuration leaves no room for a probe")
        {
            ControlBudget budget(ControlBudget::defaultBytesPerSecond, false);
            fill(budget, Priority::Configuration);
            CHECK_FALSE(budget.trySpend(Priority::Membership, 60, now));
        }
        SUBCASE("loads leave room for flow records, and flow records for configuration")
        {
            ControlBudget budget;
            fill(budget, Priority::Load);
            CHECK(budget.trySpend(Priority::FlowRecords, 60, now));
            fill(budget, Priority::FlowRecords);
            CHECK(budget.trySpend(Priority::Configuration, 60, now));
        }
    }
}
