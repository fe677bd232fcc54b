#include "ibisgw/core/PcgRandomSource.h"
#include "support/FakeCallers.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

const core::Endpoint serviceAddress { 0xc0000201, 443 };

std::shared_ptr<const configuration::Document> makeDocument()
{
    configuration::RequestKind stream { 1, "live-view" };
    stream.placement = configuration::Placement::Sticky;
    configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
    service.kinds = { stream, { 2, "booking" } };
    return std::make_shared<const configuration::Document>(
        configuration::Document { { { "peachtree" } }, { { "a", "r" }, { "b", "r" } }, { service } });
}

struct Group {
    explicit Group(const support::BalancerGroupOptions& options)
        : balancers(options, makeDocument(), queue, random)
    {
        for (std::uint32_t n = 0; n < 14; ++n) {
            support::FakeUpstreamOptions upstream { core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 }), "slotdesk",
                serviceAddress };
            upstream.zone = options.zones[n % options.zones.size()];
            balancers.addUpstream(upstream);
        }
        queue.runFor(2s);
    }

    // Opens streams of callers that echo no token. Each stream sends data at intervals of the given period.
    void openStreams(int count, core::Duration period)
    {
        for (int n = 0; n < count; ++n) {
            callers.openStream(period, false);
            queue.runFor(2ms);
        }
        queue.runFor(3s);
    }

    core::PcgRandomSource random { 1 };
    support::MessageQueue queue { {}, random };
    support::BalancerGroup balancers;
    support::FakeCallers callers { { serviceAddress }, balancers };
};

support::BalancerGroupOptions makeGroupOptions(bool sendsFlowRecords)
{
    support::BalancerGroupOptions options;
    options.sendsFlowRecords = sendsFlowRecords;
    return options;
}

// Number of streams that break when one balancer is killed and then two more. One upstream drains while the streams are
// opened, so some of them are not on their default upstream and need a flow record.
std::uint64_t countBrokenAfterKills(bool sendsFlowRecords)
{
    Group group(makeGroupOptions(sendsFlowRecords));
    group.balancers.upstreams()[3]->drain();
    group.queue.runFor(2s);
    group.openStreams(1000, 40s);
    group.balancers.killBalancer(0);
    group.queue.runFor(10s);
    group.balancers.killBalancer(1);
    group.balancers.killBalancer(2);
    group.queue.runFor(60s);
    CHECK(group.callers.establishedStreams() + group.callers.totals().brokenStreams == 1000);
    return group.callers.totals().brokenStreams;
}

// Number of streams that break when all balancers are restarted one after the other, with a draining upstream as above.
std::uint64_t countBrokenAfterRestarts(bool sendsFlowRecords)
{
    Group group(makeGroupOptions(sendsFlowRecords));
    group.balancers.upstreams()[3]->drain();
    group.queue.runFor(2s);
    group.openStreams(1000, 4min);
    for (unsigned n = 0; n < 9; ++n) {
        group.balancers.stopBalancer(n, 5s);
        group.balancers.startBalancer(n);
        group.queue.runFor(20s);
    }
    group.queue.runFor(3min);
    return group.callers.totals().brokenStreams;
}

} // namespace

TEST_SUITE("balancer")
{
    // Guards against streams that break when their home crashes and their caller echoes no token.
    TEST_CASE("streams without token survive the crash of one balancer and then of two more")
    {
        CHECK(countBrokenAfterKills(true) == 0);
        // Without flow records, streams that are not on their default upstream break.
        CHECK(countBrokenAfterKills(false) > 5);
    }

    // Guards against streams that break in a rolling restart because flow records or hand-overs are lost.
    TEST_CASE("streams without token survive a rolling restart of all balancers")
    {
        CHECK(countBrokenAfterRestarts(true) == 0);
        CHECK(countBrokenAfterRestarts(false) > 5);
    }

    // Guards against flows that move or break after a partition between two zones.
    TEST_CASE("no flow moves when two zones merge their views after a partition")
    {
        support::BalancerGroupOptions options;
        options.zones = { "a", "b" };
        Group group(options);
        group.openStreams(400, 2min);
        REQUIRE(group.callers.establishedStreams() == 400);
        group.balancers.cutZones();
        group.queue.runFor(10s);
        // Each zone continues with its own upstreams. These streams send their next data just after the partition has
        // ended.
        group.openStreams(200, 34s);
        CHECK(group.callers.establishedStreams() == 600);
        group.queue.runFor(27s);
        for (unsigned n = 0; n < 9; ++n) {
            // The views of both zones retain the upstreams of the other zone.
            CHECK(group.balancers.balancer(n)->upstreams().records().size() == 14);
        }
        group.balancers.healZones();
        group.queue.runFor(150s);
        CHECK(group.callers.totals().brokenStreams == 0);
        for (unsigned n = 0; n < 9; ++n)
            CHECK(group.balancers.balancer(n)->upstreams().eligible("slotdesk").size() == 14);
    }

    // Guards against flows that break while only some balancers have received the announcement of a new upstream.
    TEST_CASE("streams survive balancers with different views of the upstreams")
    {
        Group group(makeGroupOptions(true));
        group.openStreams(500, 20s);
        const auto id = core::UpstreamId::fromEndpoint({ 0x0a010100, 80 });
        for (std::uint32_t n = 0; n < 4; ++n)
            group.queue.cutBoth(id.value, core::NodeId::fromEndpoint({ 0x0a000001 + n, 7000 }).value);
        group.balancers.addUpstream({ id, "slotdesk", serviceAddress });
        group.queue.runFor(2s);
        group.openStreams(500, 20s);
        group.queue.runFor(60s);
        CHECK(group.callers.streamsByUpstream()[id] > 0);
        group.queue.healAll();
        group.queue.runFor(60s);
        CHECK(group.callers.establishedStreams() == 1000);
        CHECK(group.callers.totals().brokenStreams == 0);
    }

    // Guards against flows of an earlier incarnation of an upstream that stay open after its restart.
    TEST_CASE("flows of a restarted upstream are reset and those of other upstreams stay open")
    {
        Group group(makeGroupOptions(true));
        group.openStreams(500, 10s);
        const auto id = group.balancers.upstreams()[3]->options().id;
        const auto flows = group.callers.establishedStreamsOn(id).size();
        group.balancers.upstreams()[3]->restart();
        group.queue.runFor(30s);
        CHECK(group.callers.totals().brokenStreams == flows);
        CHECK(group.callers.brokenStreamsElsewhere(id) == 0);
    }
}
