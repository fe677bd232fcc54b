#include "ibisgw/sync/FailureExchange.h"
#include "support/InstanceReports.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::sync;
using namespace std::chrono_literals;

namespace {

constexpr core::NodeId self { 1 };
constexpr core::NodeId otherController { 2 };
constexpr core::NodeId balancerA { 11 };
constexpr core::NodeId balancerB { 12 };

struct SentMessages final : SyncOutput {
    std::vector<std::pair<core::NodeId, SyncMessage>> messages;

    void send(core::NodeId node, const SyncMessage& message) override { messages.emplace_back(node, message); }
};

} // namespace

TEST_SUITE("sync")
{
    // Guards against a failing upstream that each balancer has to discover by requests of its own.
    TEST_CASE("a controller shares the failing upstreams that balancers report")
    {
        upstream::InstanceDirectory directory;
        FailureExchange exchange(directory);
        SentMessages output;
        core::TimePoint now { 100s };
        directory.apply(support::makeReport(5), {}, now);
        const upstream::FailureMark mark { { 5 }, directory.find({ 5 })->report.incarnation };
        const std::vector<core::NodeId> others { otherController };
        const std::vector<core::NodeId> followers { balancerA, balancerB };

        exchange.publish(followers, now, output);
        CHECK(output.messages.empty());

        CHECK(!exchange.handle(balancerA, { mark, {} }, others, now, output));
        REQUIRE(output.messages.size() == 1);
        CHECK(output.messages[0].first == otherController);
        CHECK(std::get<FailureReport>(output.messages[0].second).reporter == balancerA);

        SUBCASE("also when another controller relays the second report")
        {
            CHECK(exchange.handle(otherController, { mark, balancerB }, others, now, output));
            CHECK(output.messages.size() == 1);
            exchange.publish(followers, now, output);
            REQUIRE(output.messages.size() == 3);
            CHECK(std::get<FailureMarks>(output.messages[1].second).marks == std::vector { mark });
        }
        SUBCASE("and ends with the mark")
        {
            exchange.handle(balancerB, { mark, {} }, others, now, output);
            now += 4s;
            output.messages.clear();
            exchange.publish(followers, now, output);
            CHECK(output.messages.empty());
        }
    }
}
