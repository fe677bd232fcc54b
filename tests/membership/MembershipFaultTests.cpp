#include "support/MembershipCluster.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace ibisgw;
using membership::MemberState;
using support::ClusterOptions;
using support::MembershipCluster;

namespace {

ClusterOptions optionsFor(std::uint64_t seed, double loss = 0.01)
{
    ClusterOptions options;
    options.network.loss = loss;
    options.seed = seed;
    return options;
}

void settle(MembershipCluster& cluster)
{
    cluster.runUntil([&] { return cluster.hasConverged() && cluster.allSynchronized(); }, std::chrono::seconds(30));
    REQUIRE(cluster.hasConverged());
    REQUIRE(cluster.allSynchronized());
}

bool hasBalancer(const membership::MembershipNode& node, core::NodeId id)
{
    const auto& balancers = node.groupBalancers();
    return std::find(balancers.begin(), balancers.end(), id) != balancers.end();
}

void cutFromAll(MembershipCluster& cluster, std::size_t index)
{
    for (std::size_t n = 0; n < cluster.size(); ++n) {
        if (n != index)
            cluster.queue().cutBoth(n, index);
    }
}

} // namespace

TEST_SUITE("membership")
{
    TEST_CASE("a process that was suspended rejoins before it acts as a home of flows")
    {
        // Guards against a balancer that places flows by the member list from before its suspension, while other
        // balancers have replaced it.
        auto options = optionsFor(11);
        SUBCASE("it is not in its list of homes until it is synchronized again")
        {
            MembershipCluster cluster(options);
            settle(cluster);
            const auto incarnation = cluster.node(4).self().incarnation;
            cluster.pause(4);
            cluster.runFor(std::chrono::seconds(8));
            CHECK(cluster.countSeeing(4, MemberState::Dead) == 8);
            cluster.resume(4);
            CHECK(cluster.daemon(4).pauses == 1);
            CHECK(cluster.node(4).self().incarnation > incarnation);
            CHECK_FALSE(hasBalancer(cluster.node(4), cluster.id(4)));
            settle(cluster);
            CHECK(hasBalancer(cluster.node(0), cluster.id(4)));
            CHECK(cluster.countSeeing(4, MemberState::Alive) == 8);
        }
        SUBCASE("with the rule switched off it is in its list of homes at once")
        {
            options.rules.rejoinAfterPause = false;
            MembershipCluster cluster(options);
            settle(cluster);
            cluster.pause(4);
            cluster.runFor(std::chrono::seconds(8));
            cluster.resume(4);
            CHECK(hasBalancer(cluster.node(4), cluster.id(4)));
        }
    }

    TEST_CASE("a suspected daemon refutes the suspicion")
    {
        auto options = optionsFor(12);
        const auto suspectAndHeal = [](MembershipCluster& cluster) {
            cutFromAll(cluster, 4);
            cluster.runUntil([&] { return cluster.countSeeing(4, MemberState::Suspect) > 0; }, std::chrono::seconds(5));
            REQUIRE(cluster.countSeeing(4, MemberState::Suspect) > 0);
            cluster.queue().healAll();
        };
        SUBCASE("all members hold it as alive again")
        {
            MembershipCluster cluster(options);
            settle(cluster);
            suspectAndHeal(cluster);
            cluster.runFor(std::chrono::seconds(3));
            CHECK(cluster.countSeeing(4, MemberState::Alive) == 8);
        }
        SUBCASE("with the rule switched off it remains suspected")
        {
            options.rules.refuteSuspicions = false;
            MembershipCluster cluster(options);
            settle(cluster);
            suspectAndHeal(cluster);
            cluster.runFor(std::chrono::seconds(3));
            CHECK(cluster.countSeeing(4, MemberState::Alive) < 8);
        }
    }

    TEST_CASE("an isolated daemon is declared dead by its peers and declares none of them dead")
    {
        auto options = optionsFor(13);
        const auto cutInbound = [](MembershipCluster& cluster, std::size_t index) {
            for (std::size_t n = 0; n < cluster.size(); ++n) {
                if (n != index)
                    cluster.queue().cut(n, index);
            }
        };
        SUBCASE("only messages to the daemon are lost")
        {
            MembershipCluster cluster(options);
            settle(cluster);
            cutInbound(cluster, 4);
            const auto time = cluster.runUntil(
                [&] { return cluster.countSeeing(4, MemberState::Dead) == 8; }, std::chrono::seconds(15));
            CHECK(core::toSeconds(time) <= 10);
            CHECK(cluster.node(4).isIsolated());
            CHECK(cluster.node(4).groupBalancers().size() == 9);
            cluster.queue().healAll();
            settle(cluster);
        }
        SUBCASE("messages in both directions are lost for a minute")
        {
            MembershipCluster cluster(options);
            settle(cluster);
            cutFromAll(cluster, 4);
            cluster.runFor(std::chrono::minutes(1));
            CHECK(cluster.node(4).isIsolated());
            CHECK(cluster.node(4).groupBalancers().size() == 9);
            cluster.queue().healAll();
            settle(cluster);
            CHECK_FALSE(cluster.node(4).isIsolated());
        }
        SUBCASE("with the rule switched off it declares all peers dead")
        {
            options.rules.keepViewInIsolation = false;
            MembershipCluster cluster(options);
            settle(cluster);
            cutFromAll(cluster, 4);
            cluster.runFor(std::chrono::minutes(1));
            CHECK(cluster.node(4).groupBalancers().size() == 1);
        }
    }

    TEST_CASE("a partitioned zone keeps its own members and rejoins the others when the partition ends")
    {
        MembershipCluster cluster(optionsFor(14));
        settle(cluster);
        cluster.cutZone(1);
        cluster.runFor(std::chrono::seconds(12));
        CHECK(cluster.node(4).groupBalancers().size() == 3);
        CHECK(cluster.node(0).groupBalancers().size() == 6);
        CHECK_FALSE(cluster.node(4).isIsolated());
        cluster.queue().healAll();
        settle(cluster);
        CHECK(cluster.node(4).groupBalancers().size() == 9);
        CHECK(cluster.peakBytesPerSecond() <= 4096);
    }

    TEST_CASE("no member is declared dead with 5 % message loss")
    {
        MembershipCluster cluster(optionsFor(15, 0.05));
        settle(cluster);
        for (int second = 0; second < 300; ++second) {
            cluster.runFor(std::chrono::seconds(1));
            for (std::size_t n = 0; n < cluster.size(); ++n)
                REQUIRE(cluster.countSeeing(n, MemberState::Dead) == 0);
        }
    }

    TEST_CASE("a leaving daemon is no longer a home at once, and is declared dead after it stops")
    {
        MembershipCluster cluster(optionsFor(16));
        settle(cluster);
        cluster.node(4).leave(cluster.now());
        CHECK_FALSE(hasBalancer(cluster.node(4), cluster.id(4)));
        cluster.runFor(std::chrono::seconds(2));
        for (std::size_t n = 0; n < cluster.size(); ++n)
            CHECK_FALSE(hasBalancer(cluster.node(n), cluster.id(4)));
        CHECK(cluster.countSeeing(4, MemberState::Leaving) == 8);
        cluster.kill(4);
        cluster.runFor(std::chrono::seconds(8));
        CHECK(cluster.countSeeing(4, MemberState::Dead) == 8);
    }

    TEST_CASE("groups of one zone each exchange revisions and summaries through delegates")
    {
        auto options = optionsFor(17);
        options.zones = 3;
        options.daemonsPerZone = 12;
        options.groupSpansZones = false;
        MembershipCluster cluster(options);
        settle(cluster);
        cluster.runFor(std::chrono::seconds(10));
        CHECK(cluster.node(0).members().records().size() == 11);
        CHECK(cluster.node(0).groupBalancers().size() == 12);
        CHECK(cluster.node(0).zones().size() == 3);
        auto& origin = cluster.daemon(0);
        origin.node->publishRevision(support::makeAddressRevision(1, 10), cluster.now(), origin);
        const auto time = cluster.runUntil([&] { return cluster.allInForce(1); }, std::chrono::seconds(30));
        CHECK(core::toSeconds(time) <= 9);
        // The count is complete once messages of all daemons of the zone and the summaries of the other zones have
        // arrived.
        cluster.runFor(std::chrono::seconds(30));
        const auto count = cluster.node(0).countInForce(1);
        CHECK(count.alive == 36);
        CHECK(count.inForce == 36);
    }
}
