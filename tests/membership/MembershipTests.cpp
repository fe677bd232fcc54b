#include "support/MembershipCluster.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using membership::MemberState;
using support::ClusterOptions;
using support::MembershipCluster;

namespace {

constexpr auto settleLimit = std::chrono::seconds(20);

ClusterOptions withLoss(double loss, std::uint64_t seed)
{
    ClusterOptions options;
    options.network.loss = loss;
    options.seed = seed;
    return options;
}

void settle(MembershipCluster& cluster)
{
    cluster.runUntil([&] { return cluster.hasConverged() && cluster.allSynchronized(); }, settleLimit);
    REQUIRE(cluster.hasConverged());
    REQUIRE(cluster.allSynchronized());
}

} // namespace

TEST_SUITE("membership")
{
    TEST_CASE("daemons that start with the seeds only become members of each other")
    {
        MembershipCluster cluster(withLoss(0.01, 3));
        settle(cluster);
        cluster.runFor(std::chrono::seconds(2));
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            CHECK(cluster.node(n).groupBalancers().size() == 9);
            CHECK(cluster.node(n).zones().size() == 3);
        }
        CHECK(cluster.peakBytesPerSecond() <= 4096);
    }

    TEST_CASE("a killed daemon is declared dead, a daemon that is suspended for one second is not")
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            MembershipCluster cluster(withLoss(0.01, seed));
            settle(cluster);
            SUBCASE("killed")
            {
                cluster.kill(4);
                const auto time = cluster.runUntil(
                    [&] { return cluster.countSeeing(4, MemberState::Dead) == 8; }, std::chrono::seconds(10));
                CHECK(core::toSeconds(time) <= 5.0);
                CHECK(cluster.node(0).groupBalancers().size() == 8);
                cluster.restart(4);
                settle(cluster);
            }
            SUBCASE("paused for one second")
            {
                cluster.pause(4);
                cluster.runFor(std::chrono::seconds(1));
                cluster.resume(4);
                cluster.runFor(std::chrono::seconds(6));
                CHECK(cluster.countSeeing(4, MemberState::Alive) == 8);
                CHECK(cluster.daemon(4).pauses == 0);
            }
        }
    }
}
