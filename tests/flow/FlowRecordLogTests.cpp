#include "ibisgw/flow/FlowRecordLog.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using flow::FlowRecordLog;

namespace {

const core::NodeId first { 1 };
const core::NodeId second { 2 };
const core::UpstreamId upstream { 80 };
constexpr std::size_t largeLimit = 10'000;

} // namespace

TEST_SUITE("flow")
{
    TEST_CASE("flow record log")
    {
        FlowRecordLog origin(first, 1000, largeLimit);
        FlowRecordLog peer(second, 5000, largeLimit);
        for (std::uint64_t n = 1; n <= 20; ++n)
            origin.record(n, upstream);
        auto records = origin.takeOutgoing(100);
        REQUIRE(records.size() == 20);

        // Guards against flow records that a balancer never receives because a datagram was lost.
        SUBCASE("a lost record is detected by its sequence and retransmitted")
        {
            for (const auto& it : records) {
                if (it.sequence != 1007)
                    peer.apply(it);
            }
            REQUIRE(peer.firstMissing(first, origin.head()) == 1007);
            for (const auto& it : origin.since(1007))
                peer.apply(it);
            CHECK(!peer.firstMissing(first, origin.head()));
            CHECK(peer.size() == 20);
        }
        // Guards against a record that is restored after its flow has ended or moved.
        SUBCASE("an older record of an origin does not replace a newer one")
        {
            for (const auto& it : records)
                peer.apply(it);
            origin.record(5, core::UpstreamId { 81 });
            peer.apply(origin.takeOutgoing(1).front());
            CHECK(!peer.apply(records[4]));
            CHECK(peer.find(5) == core::UpstreamId { 81 });
        }
        // Guards against records that stay after their flow needs none any more.
        SUBCASE("a removal erases the record of the flow at the peer")
        {
            for (const auto& it : records)
                peer.apply(it);
            origin.remove(5);
            for (const auto& it : origin.takeOutgoing(10))
                peer.apply(it);
            CHECK(!peer.find(5).isValid());
            CHECK(peer.size() == 19);
        }
        // Guards against a restarted balancer that rejects the records of its earlier process, which its peers still
        // hold.
        SUBCASE("records of an earlier process are stored again and the new first sequence is not a gap")
        {
            FlowRecordLog restarted(first, 2'000'000, largeLimit);
            for (const auto& it : records)
                restarted.apply(it);
            CHECK(restarted.size() == 20);
            for (const auto& it : records)
                peer.apply(it);
            restarted.record(100, upstream);
            peer.apply(restarted.takeOutgoing(1).front());
            CHECK(!peer.firstMissing(first, restarted.head()));
        }
        // Guards against unbounded memory for records.
        SUBCASE("the oldest records are evicted beyond the limit")
        {
            FlowRecordLog small(second, 1, 10);
            for (std::uint64_t n = 1; n <= 20; ++n)
                small.record(n, upstream);
            CHECK(small.size() == 10);
            CHECK(small.evictedCount() == 10);
            CHECK(!small.find(1).isValid());
            CHECK(small.find(20) == upstream);
        }
        // Guards against a joining balancer that becomes a home without the flow records of the group.
        SUBCASE("a joining balancer stores all records of the group")
        {
            FlowRecordLog joining(core::NodeId { 3 }, 1, largeLimit);
            for (const auto& it : origin.all())
                joining.apply(it);
            joining.setHeads(origin.heads());
            CHECK(joining.size() == 20);
            CHECK(!joining.firstMissing(first, origin.head()));
        }
    }
}
