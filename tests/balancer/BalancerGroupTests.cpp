#include "ibisgw/core/PcgRandomSource.h"
#include "support/FakeCallers.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;

namespace {

const core::Endpoint serviceAddress { 0xc0000201, 443 }; // 192.0.2.1

std::shared_ptr<const configuration::Document> makeDocument()
{
    configuration::RequestKind stream { 1, "live-view" };
    stream.placement = configuration::Placement::Sticky;
    configuration::RequestKind booking { 2, "booking" };
    configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
    service.kinds = { stream, booking };
    return std::make_shared<const configuration::Document>(
        configuration::Document { { { "peachtree" } }, { { "a", "r" } }, { service } });
}

} // namespace

TEST_SUITE("balancer")
{
    // Guards against flows that break or run requests twice when their packets arrive at different balancers.
    TEST_CASE("packets of one flow may arrive at any balancer")
    {
        core::PcgRandomSource random(1);
        support::MessageQueue queue({}, random);
        support::BalancerGroup group({}, makeDocument(), queue, random);
        for (std::uint32_t n = 0; n < 14; ++n)
            group.addUpstream({ core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 }), "slotdesk", serviceAddress });
        queue.runFor(2s);
        support::FakeCallers callers({ serviceAddress }, group);
        for (int n = 0; n < 200; ++n)
            callers.openStream();
        queue.runFor(2s);
        REQUIRE(callers.establishedStreams() == 200);

        SUBCASE("streams stay open")
        {
            queue.runFor(30s);
            CHECK(callers.totals().brokenStreams == 0);
        }
        SUBCASE("streams of callers that echo the token survive a crash of two balancers")
        {
            group.killBalancer(0);
            group.killBalancer(1);
            queue.runFor(30s);
            CHECK(callers.totals().brokenStreams == 0);
        }
        SUBCASE("each request runs at most once")
        {
            callers.startArrivals(100, queue.now() + 10s, random);
            queue.runFor(15s);
            CHECK(callers.totals().answered > 900);
            CHECK(group.executions().duplicateExecutions() == 0);
            CHECK(callers.totals().falseNotRun == 0);
        }
    }
}
