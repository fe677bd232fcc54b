#include "ibisgw/sync/ColdStartPermits.h"
#include "support/InstanceReports.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::sync;
using namespace std::chrono_literals;

namespace {

const std::vector<core::NodeId> nearBalancers { { 11 }, { 12 }, { 13 } };
const std::vector<core::NodeId> otherBalancers { { 21 }, { 22 }, { 23 } };

struct PermitsFixture : SyncOutput {
    ColdStartPermits permits;
    core::TimePoint now { 100s };
    std::vector<core::NodeId> offered;
    std::uint32_t granted { 0 };

    void send(core::NodeId node, const SyncMessage& message) override
    {
        if (std::holds_alternative<ColdStartOffer>(message))
            offered.push_back(node);
        else
            granted += std::get<ColdStartGrant>(message).permits;
    }
    void report(std::uint64_t sequence, double warmUpPerSecond, core::Duration cold = 4s)
    {
        auto report = support::makeReport(5, sequence);
        report.coldRemaining = cold;
        permits.offer(report, warmUpPerSecond, nearBalancers, otherBalancers, now, *this);
    }
    // All balancers claim, also those without an offer.
    void claimAll(std::uint64_t sequence)
    {
        for (std::uint64_t node = 1; node <= 30; ++node)
            permits.handle({ node }, { { { 5 }, 1000, sequence }, 7 }, now, *this);
    }
};

} // namespace

TEST_SUITE("sync")
{
    // Guards against more flows than the limit because a report yields permits twice, late, or for too many balancers.
    TEST_CASE_FIXTURE(PermitsFixture, "a report of a cold upstream yields half of the new requests of a second")
    {
        report(1, 21);
        CHECK(std::ranges::is_permutation(std::span(offered).first(3), nearBalancers));
        REQUIRE(offered.size() == 4);

        SUBCASE("once, also when the report or the claims arrive twice")
        {
            claimAll(1);
            CHECK(granted == 10);
            report(1, 21);
            claimAll(1);
            CHECK(granted == 10);
            CHECK(permits.grantedPermits() == 10);
        }
        SUBCASE("not for claims that arrive late or name another report")
        {
            claimAll(2);
            now += 301ms;
            claimAll(1);
            CHECK(granted == 0);
        }
        SUBCASE("again for the next report")
        {
            claimAll(1);
            report(2, 21);
            claimAll(2);
            CHECK(granted == 20);
        }
        SUBCASE("to fewer balancers when there are fewer permits, and at least one")
        {
            for (const double warmUpPerSecond : { 5.0, 1.0, 0.1 }) {
                offered.clear();
                granted = 0;
                report(static_cast<std::uint64_t>(100 / warmUpPerSecond), warmUpPerSecond);
                claimAll(static_cast<std::uint64_t>(100 / warmUpPerSecond));
                CHECK(granted == (warmUpPerSecond == 5 ? 2 : 1));
                CHECK(offered.size() == granted);
            }
        }
        SUBCASE("none without a limit, and none once the upstream is warm")
        {
            offered.clear();
            report(2, 0);
            report(3, 21, 0s);
            CHECK(offered.empty());
        }
    }
}
