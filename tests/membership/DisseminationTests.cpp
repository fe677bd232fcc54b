#include "support/MembershipCluster.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

using namespace ibisgw;
using membership::MemberState;
using support::ClusterOptions;
using support::MembershipCluster;

namespace {

ClusterOptions optionsFor(std::uint64_t seed, double loss)
{
    ClusterOptions options;
    options.network.loss = loss;
    options.network.duplication = 0.01;
    options.seed = seed;
    return options;
}

void settle(MembershipCluster& cluster)
{
    cluster.runUntil([&] { return cluster.hasConverged() && cluster.allSynchronized(); }, std::chrono::seconds(30));
    REQUIRE(cluster.hasConverged());
    REQUIRE(cluster.allSynchronized());
}

void publishRevision(MembershipCluster& cluster, std::size_t origin, core::Revision revision, std::size_t addresses)
{
    auto& daemon = cluster.daemon(origin);
    REQUIRE(daemon.node->publishRevision(support::makeAddressRevision(revision, addresses), cluster.now(), daemon));
}

bool isIncreasing(const std::vector<core::Revision>& revisions)
{
    return std::adjacent_find(revisions.begin(), revisions.end(), std::greater_equal<> {}) == revisions.end();
}

} // namespace

TEST_SUITE("membership")
{
    TEST_CASE("accepted revisions come into force on all daemons, in order, with 5 % message loss")
    {
        MembershipCluster cluster(optionsFor(21, 0.05));
        settle(cluster);
        for (core::Revision revision = 1; revision <= 20; ++revision) {
            publishRevision(cluster, revision % 2, revision, 30);
            cluster.runFor(std::chrono::milliseconds(800));
        }
        cluster.runUntil([&] { return cluster.allInForce(20); }, std::chrono::seconds(20));
        CHECK(cluster.allInForce(20));
        for (std::size_t n = 0; n < cluster.size(); ++n) {
            CHECK(isIncreasing(cluster.daemon(n).revisions));
            CHECK(cluster.node(n).revisionInForce() == support::makeAddressRevision(20, 30));
        }
        CHECK(cluster.peakBytesPerSecond() <= 4096);
    }

    TEST_CASE("a daemon that restarts without stored data in a partitioned zone adopts the newest revision there")
    {
        auto options = optionsFor(22, 0.01);
        const auto restartInCutZone = [](MembershipCluster& cluster) {
            settle(cluster);
            publishRevision(cluster, 0, 1, 200);
            cluster.runUntil([&] { return cluster.allInForce(1); }, std::chrono::seconds(30));
            REQUIRE(cluster.allInForce(1));
            cluster.cutZone(1);
            cluster.runFor(std::chrono::seconds(10));
            publishRevision(cluster, 5, 2, 200);
            cluster.runUntil([&] { return cluster.node(4).revisionInForce().revision == 2; }, std::chrono::seconds(10));
            cluster.restart(4);
            cluster.runUntil([&] { return cluster.node(4).self().isSynchronized; }, std::chrono::seconds(20));
            REQUIRE(cluster.node(4).self().isSynchronized);
        };
        SUBCASE("the revision is in force before the daemon reports that it is synchronized")
        {
            MembershipCluster cluster(options);
            restartInCutZone(cluster);
            CHECK(cluster.node(4).revisionInForce() == support::makeAddressRevision(2, 200));
        }
        SUBCASE("with the rule switched off it reports that it is synchronized without the revision")
        {
            options.rules.waitForNewestRevision = false;
            MembershipCluster cluster(options);
            restartInCutZone(cluster);
            CHECK(cluster.node(4).revisionInForce().revision < 2);
        }
    }

    TEST_CASE("a delta with a wrong base or a wrong result is not applied, and the right document is fetched")
    {
        MembershipCluster cluster(optionsFor(23, 0));
        settle(cluster);
        publishRevision(cluster, 0, 1, 20);
        cluster.runUntil([&] { return cluster.allInForce(1); }, std::chrono::seconds(30));
        const auto first = support::makeAddressRevision(1, 20);
        const auto second = support::makeAddressRevision(2, 20);
        membership::GossipMessage message;
        message.incarnation = cluster.node(0).self().incarnation;
        message.head = { 1, first.hash };
        const auto deliver = [&](const membership::DeltaItem& delta) {
            message.deltas = { delta };
            cluster.node(3).handleMessage(cluster.id(0), message, cluster.now(), cluster.daemon(3));
        };
        SUBCASE("the base has another hash than the document in force")
        {
            deliver({ { 1, first.hash + 1 }, { 2, second.hash }, "[]", "operator", "s" });
        }
        SUBCASE("the base is a later revision than the one in force")
        {
            deliver({ { 2, second.hash }, { 3, 7 }, "[]", "operator", "s" });
        }
        SUBCASE("the patch leads to another document than announced")
        {
            deliver({ { 1, first.hash }, { 2, second.hash }, "[]", "operator", "s" });
        }
        CHECK(cluster.node(3).revisionInForce() == first);
        publishRevision(cluster, 0, 2, 20);
        cluster.runUntil([&] { return cluster.allInForce(2); }, std::chrono::seconds(20));
        CHECK(cluster.node(3).revisionInForce() == second);
    }

    TEST_CASE("a drain reaches all daemons within 3 s, and an older announcement does not undo it")
    {
        for (std::uint64_t seed = 1; seed <= 5; ++seed) {
            MembershipCluster cluster(optionsFor(seed, 0.05));
            settle(cluster);
            cluster.node(0).publish(support::makeAnnouncement(1, 5), cluster.now());
            cluster.runFor(std::chrono::seconds(3));
            auto draining = support::makeAnnouncement(1, 6);
            draining.state = upstream::UpstreamState::Draining;
            cluster.node(7).publish(draining, cluster.now());
            // The announcement from before the drain arrives late at another daemon.
            cluster.node(3).publish(support::makeAnnouncement(1, 5), cluster.now());
            cluster.runFor(std::chrono::seconds(3));
            for (std::size_t n = 0; n < cluster.size(); ++n) {
                const auto* entry = cluster.node(n).announcements().find(draining.upstream);
                REQUIRE(entry);
                CHECK(entry->announcement.state == upstream::UpstreamState::Draining);
            }
        }
    }

    TEST_CASE("an announcement at one daemon renews the lease on all, and leases expire when announcements end")
    {
        MembershipCluster cluster(optionsFor(24, 0.05));
        settle(cluster);
        const auto id = support::makeAnnouncement(1, 1).upstream;
        for (std::uint64_t second = 1; second <= 40; ++second) {
            cluster.node(second * 4 % 9).publish(support::makeAnnouncement(1, second), cluster.now());
            cluster.node(0).publish(support::makeAnnouncement(2, second), cluster.now());
            cluster.runFor(std::chrono::seconds(1));
            for (std::size_t n = 0; n < cluster.size() && second > 5; ++n) {
                REQUIRE(cluster.node(n).announcements().find(id));
                REQUIRE_FALSE(cluster.node(n).announcements().find(id)->isExpired);
            }
        }
        cluster.runFor(std::chrono::seconds(16));
        for (std::size_t n = 0; n < cluster.size(); ++n)
            CHECK(cluster.node(n).announcements().size() == 0);
        // A daemon that still holds the expired entry does not add it again at daemons that have removed it.
        cluster.runFor(std::chrono::minutes(2));
        for (std::size_t n = 0; n < cluster.size(); ++n)
            CHECK(cluster.node(n).announcements().size() == 0);
    }

    TEST_CASE("flow records reach every daemon once, and gaps are repaired")
    {
        MembershipCluster cluster(optionsFor(25, 0.05));
        settle(cluster);
        constexpr std::size_t records = 200;
        const auto publishAll = [&] {
            for (std::uint8_t n = 0; n < records; ++n) {
                cluster.node(n % 3).publish({ n, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11 }, cluster.now());
                cluster.runFor(std::chrono::milliseconds(50));
            }
        };
        const auto countDistinct = [&](std::size_t index) {
            std::set<std::pair<core::NodeId, std::uint64_t>> distinct;
            for (const auto& it : cluster.daemon(index).flowRecords)
                CHECK(distinct.insert({ it.origin, it.sequence }).second);
            return distinct.size();
        };
        publishAll();
        cluster.runFor(std::chrono::seconds(10));
        for (std::size_t n = 3; n < cluster.size(); ++n)
            CHECK(countDistinct(n) == records);

        // A daemon that joins receives all records from its peers even when an origin is dead.
        cluster.kill(0);
        cluster.kill(8);
        cluster.daemon(8).flowRecords.clear();
        cluster.runFor(std::chrono::seconds(1));
        cluster.restart(8);
        cluster.runUntil([&] { return cluster.node(8).self().isSynchronized; }, std::chrono::seconds(30));
        cluster.runFor(std::chrono::seconds(5));
        CHECK(countDistinct(8) == records);
        CHECK(cluster.peakBytesPerSecond() <= 4096);
    }

    TEST_CASE("no member is declared dead during the transfer of a large document")
    {
        // Guards against probes that time out because they wait behind the pieces of a document for the control budget.
        MembershipCluster cluster(optionsFor(26, 0.01));
        settle(cluster);
        for (core::Revision revision = 1; revision <= 6; ++revision) {
            // Each revision has other names, so that no delta fits into a datagram.
            publishRevision(cluster, 0, revision, 2000 + 400 * revision);
            for (int n = 0; n < 5; ++n) {
                cluster.runFor(std::chrono::seconds(1));
                for (std::size_t member = 0; member < cluster.size(); ++member)
                    CHECK(cluster.countSeeing(member, MemberState::Dead) == 0);
            }
        }
        CHECK(cluster.peakBytesPerSecond() <= 4096);
    }
}
