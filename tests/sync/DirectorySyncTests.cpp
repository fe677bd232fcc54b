#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/adapters/SyncEncoder.h"
#include "ibisgw/core/ObjectReader.h"
#include "ibisgw/sync/DirectoryFeed.h"
#include "ibisgw/sync/DirectorySubscriber.h"
#include "support/InstanceReports.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <deque>
#include <map>
#include <set>
#include <utility>

using namespace ibisgw;
using namespace ibisgw::sync;
using namespace ibisgw::upstream;
using namespace std::chrono_literals;

namespace {

constexpr core::NodeId controllerNode { 10 };
constexpr core::NodeId balancerNode { 20 };

struct RecordingOutput final : SyncOutput {
    std::deque<std::pair<core::NodeId, SyncMessage>> messages;

    void send(core::NodeId to, const SyncMessage& message) override { messages.emplace_back(to, message); }
};

// The feed of one controller and one subscriber, connected by message queues that the test delivers.
struct FeedAndSubscriber {
    InstanceDirectory source;
    InstanceDirectory copy;
    DirectoryFeed feed { 77, source };
    DirectorySubscriber subscriber;
    RecordingOutput toController;
    RecordingOutput toFollower;
    FeedStatus status { 3, { controllerNode }, 1, "a", true };
    core::TimePoint now { 100s };

    explicit FeedAndSubscriber(bool isController = false)
        : subscriber({ balancerNode, 5, isController, { controllerNode } }, copy)
    {
    }

    void deliver(bool isLossy = false)
    {
        while (!toController.messages.empty() || !toFollower.messages.empty()) {
            if (!toController.messages.empty()) {
                const auto message = toController.messages.front().second;
                toController.messages.pop_front();
                if (const auto* it = std::get_if<Subscription>(&message); it && !isLossy)
                    feed.handle(balancerNode, *it, status, now, toFollower);
            }
            if (!toFollower.messages.empty()) {
                const auto message = toFollower.messages.front().second;
                toFollower.messages.pop_front();
                if (const auto* it = std::get_if<DirectoryUpdate>(&message); it && !isLossy)
                    subscriber.handle(controllerNode, *it, now, toController);
            }
        }
    }
    void subscribe()
    {
        now += 1s;
        subscriber.tick(now, toController);
        deliver();
    }
};

DirectoryUpdate statusOf(direct::ConfigurationVersion version, direct::ConfigurationVersion logged, bool isVoter)
{
    DirectoryUpdate update { .feed = 77, .version = version, .loggedVersion = logged, .isVoter = isVoter };
    update.zone = "a";
    return update;
}

} // namespace

TEST_SUITE("sync")
{
    TEST_CASE("a balancer receives the directory of a controller and its changes")
    {
        FeedAndSubscriber it;
        it.source.apply(support::makeReport(1, 1), {}, it.now);
        it.subscribe();
        it.feed.publish(it.status, it.now, it.toFollower);
        it.deliver();
        REQUIRE(it.copy.find({ 1 }) != nullptr);

        SUBCASE("a change is sent without waiting for a subscription")
        {
            it.source.apply(support::makeReport(1, 2, InstanceState::Draining), {}, it.now);
            it.feed.publish(it.status, it.now += 100ms, it.toFollower);
            it.deliver();
            CHECK(it.copy.find({ 1 })->report.state == InstanceState::Draining);
        }
        SUBCASE("a subscriber that was paused requests the changes at once, not with its next regular subscription")
        {
            it.source.apply(support::makeReport(1, 2, InstanceState::Draining), {}, it.now);
            it.subscriber.requestUpdates(it.now);
            it.subscriber.tick(it.now, it.toController);
            it.deliver();
            CHECK(it.copy.find({ 1 })->report.state == InstanceState::Draining);
        }
        SUBCASE("a change whose update was lost is repeated in the reply to the next subscription")
        {
            it.source.apply(support::makeReport(1, 2, InstanceState::Draining), {}, it.now);
            it.feed.publish(it.status, it.now += 100ms, it.toFollower);
            it.deliver(true);
            CHECK(it.copy.find({ 1 })->report.state == InstanceState::Ready);
            it.subscribe();
            CHECK(it.copy.find({ 1 })->report.state == InstanceState::Draining);
        }
        SUBCASE("in a series of changes each is sent once, not again with each later change")
        {
            // Guards against traffic that grows with the square of the fleet size (found in a run with 300 machines).
            std::size_t items = 0;
            constexpr std::uint64_t changes = 200;
            for (std::uint64_t id = 10; id < 10 + changes; ++id) {
                it.now += 20ms;
                it.source.apply(support::makeReport(id, 1), {}, it.now);
                it.feed.publish(it.status, it.now, it.toFollower);
                for (const auto& [node, message] : it.toFollower.messages)
                    items += std::get<DirectoryUpdate>(message).items.size();
                it.deliver();
            }
            CHECK(items <= changes);
            CHECK(it.copy.records().size() >= changes - 2);
        }
        SUBCASE("a change that follows a lost one is applied only after the lost one was repeated")
        {
            it.source.apply(support::makeReport(2, 1), {}, it.now);
            it.feed.publish(it.status, it.now += 100ms, it.toFollower);
            it.deliver(true);
            it.source.apply(support::makeReport(3, 1), {}, it.now);
            it.feed.publish(it.status, it.now += 100ms, it.toFollower);
            it.deliver();
            CHECK(it.copy.find({ 3 }) == nullptr);
            it.subscribe();
            CHECK(it.copy.find({ 2 }) != nullptr);
            CHECK(it.copy.find({ 3 }) != nullptr);
        }
        SUBCASE("renewals are not sent to balancers, whose links are slow")
        {
            it.source.apply(support::makeReport(1, 2), {}, it.now);
            it.feed.publish(it.status, it.now, it.toFollower);
            CHECK(it.toFollower.messages.empty());
        }
        SUBCASE("a balancer is notified of an overdue upstream")
        {
            it.source.markOverdue(2s, it.now + 3s);
            it.feed.publish(it.status, it.now += 100ms, it.toFollower);
            it.deliver();
            CHECK(it.copy.find({ 1 })->isOverdue);
        }
        SUBCASE("all changes of a restarted controller are received, and earlier upstreams are kept")
        {
            InstanceDirectory fresh;
            fresh.apply(support::makeReport(2, 1), {}, it.now);
            DirectoryFeed restarted(78, fresh);
            it.now += 1s;
            it.subscriber.tick(it.now, it.toController);
            for (int n = 0; n < 2; ++n) {
                const auto subscription = std::get<Subscription>(it.toController.messages.back().second);
                it.toController.messages.clear();
                restarted.handle(balancerNode, subscription, it.status, it.now, it.toFollower);
                it.subscriber.handle(controllerNode, std::get<DirectoryUpdate>(it.toFollower.messages.back().second),
                    it.now, it.toController);
                it.now += 1s;
                it.subscriber.tick(it.now, it.toController);
            }
            CHECK(it.copy.find({ 2 }) != nullptr);
            CHECK(it.copy.find({ 1 }) != nullptr);
        }
        SUBCASE("a newer configuration is requested once, and again when the transfer is late")
        {
            it.subscriber.fetchConfiguration(2, it.now, it.toController);
            REQUIRE(it.toController.messages.size() == 1);
            CHECK(std::get<ConfigurationRequest>(it.toController.messages.front().second).newerThan == 2);
            it.subscriber.fetchConfiguration(2, it.now + 100ms, it.toController);
            CHECK(it.toController.messages.size() == 1);
            it.subscriber.fetchConfiguration(2, it.now + 400ms, it.toController);
            CHECK(it.toController.messages.size() == 2);
            it.subscriber.fetchConfiguration(3, it.now + 800ms, it.toController);
            CHECK(it.toController.messages.size() == 2);
        }
    }

    // Guards against a controller that relays each report to all others: with five controllers and 3,000 upstreams each
    // report was sent 20 times, which saturated the processors of small controllers.
    TEST_CASE("a controller relays renewals of another one only to controllers that do not receive them directly")
    {
        constexpr core::NodeId origin { 11 };
        constexpr core::NodeId follower { 12 };
        InstanceDirectory directory;
        DirectoryFeed feed { 77, directory };
        RecordingOutput outbox;
        core::TimePoint now { 100s };
        for (std::uint64_t id = 1; id <= 2; ++id)
            directory.apply(support::makeReport(id, 1), {}, now, origin);
        const auto subscribe = [&](std::uint64_t acknowledged, std::vector<core::NodeId> directPeers) {
            outbox.messages.clear();
            feed.handle(follower, { 5, true, 77, acknowledged, 0, std::move(directPeers) }, { 3, {}, 1 }, now, outbox);
            return std::get<DirectoryUpdate>(outbox.messages.back().second);
        };
        const auto known = subscribe(0, { origin }).to;
        directory.renew({ 1 }, 1000, 2, now, origin);
        directory.renew({ 2 }, 1000, 2, now);

        SUBCASE("renewals that the controller received from upstreams go to all")
        {
            const auto update = subscribe(known, { origin });
            REQUIRE(update.renewals.size() == 1);
            CHECK(update.renewals.front().id.value == 2);
        }
        SUBCASE("a subscriber without contact to the other controller also receives the renewals of that one")
        {
            CHECK(subscribe(known, {}).renewals.size() == 2);
        }
        SUBCASE("a change of state goes to all, whichever controller received it")
        {
            directory.apply(support::makeReport(1, 3, InstanceState::Draining), {}, now, origin);
            CHECK(subscribe(known, { origin }).items.size() == 1);
        }
    }

    // Guards against updates of hundreds of datagrams, of which one is always lost. In a run with 300 machines and
    // 3,000 upstreams the controllers sent the whole directory over and over.
    TEST_CASE("a large directory is sent in parts")
    {
        constexpr std::uint64_t upstreams = 1000;
        constexpr std::size_t maxUpdateBytes = 10'000;
        FeedAndSubscriber it;
        it.subscribe();
        for (std::uint64_t id = 1; id <= upstreams; ++id)
            it.source.apply(support::makeReport(id, 1), {}, it.now);
        it.now += 1s;
        it.subscriber.tick(it.now, it.toController);
        REQUIRE(it.toController.messages.size() == 1);
        const auto answer = [&] {
            const auto request = std::get<Subscription>(it.toController.messages.front().second);
            it.toController.messages.pop_front();
            it.feed.handle(balancerNode, request, it.status, it.now, it.toFollower);
            const auto update = it.toFollower.messages.front().second;
            it.toFollower.messages.pop_front();
            CHECK(adapters::encodeSyncMessage(update).size() < maxUpdateBytes);
            return std::get<DirectoryUpdate>(update);
        };

        SUBCASE("the subscriber requests the next part as soon as one arrives")
        {
            it.deliver();
            CHECK(it.copy.records().size() == upstreams);
            CHECK(it.subscriber.hasCompleteDirectory());
        }
        SUBCASE("after a lost part the transfer resumes with that part, not from the start")
        {
            it.subscriber.handle(controllerNode, answer(), it.now, it.toController);
            const auto before = it.copy.records().size();
            answer();
            CHECK(!it.subscriber.hasCompleteDirectory());
            it.subscriber.tick(it.now += 250ms, it.toController);
            it.deliver();
            CHECK(before > 0);
            CHECK(it.copy.records().size() == upstreams);
        }
        SUBCASE("new changes are not pushed to a subscriber that is still receiving earlier ones")
        {
            it.subscriber.handle(controllerNode, answer(), it.now, it.toController);
            it.source.apply(support::makeReport(1, 2, InstanceState::Draining), {}, it.now);
            it.feed.publish(it.status, it.now += 100ms, it.toFollower);
            CHECK(it.toFollower.messages.empty());
            it.deliver();
            CHECK(it.copy.find({ 1 })->report.state == InstanceState::Draining);
        }
    }

    // Guards against a directory that no balancer can receive any more, because a few upstreams have reported long
    // texts.
    TEST_CASE("a directory with long texts is sent in parts of a few datagrams")
    {
        constexpr std::uint64_t upstreams = 40;
        constexpr std::size_t maxUpdateBytes = 20'000;
        FeedAndSubscriber it;
        it.subscribe();
        for (std::uint64_t id = 1; id <= upstreams; ++id) {
            auto report = support::makeReport(id, 1);
            report.zone = std::string(core::maxTextBytes, 'z');
            it.source.apply(report, {}, it.now);
        }
        it.now += 1s;
        it.subscriber.tick(it.now, it.toController);
        it.feed.handle(balancerNode, std::get<Subscription>(it.toController.messages.front().second), it.status, it.now,
            it.toFollower);
        const auto& update = it.toFollower.messages.front().second;
        CHECK_FALSE(std::get<DirectoryUpdate>(update).items.empty());
        CHECK(adapters::encodeSyncMessage(update).size() < maxUpdateBytes);
        it.deliver();
        CHECK(it.copy.records().size() == upstreams);
        CHECK(it.subscriber.hasCompleteDirectory());
    }

    // Guards against a new balancer that never receives the reports of upstreams that were overdue before: it received
    // the mark instead of the report, and dropped the packets of their flows (inc-2986, request c1d73c034b5fab83).
    TEST_CASE("a subscriber that joins late receives the reports of upstreams that have been overdue")
    {
        for (const bool isController : { false, true }) {
            CAPTURE(isController);
            constexpr std::uint64_t upstreams = 250;
            FeedAndSubscriber it(isController);
            for (std::uint64_t id = 1; id <= upstreams; ++id)
                it.source.apply(support::makeReport(id, 1), {}, it.now);
            it.source.setOverdue({ 7 }, 1000, 1, true, it.now);
            it.source.setOverdue({ 8 }, 1000, 1, true, it.now);
            it.source.renew({ 8 }, 1000, 2, it.now);
            it.subscribe();
            CHECK(it.copy.records().size() == upstreams);
            REQUIRE(it.copy.find({ 7 }) != nullptr);
            CHECK(it.copy.find({ 7 })->isOverdue);
            CHECK(it.copy.digest() == it.source.digest());

            // Once the subscriber holds the report, only the mark is sent.
            it.subscribe();
            it.toFollower.messages.clear();
            it.source.setOverdue({ 9 }, 1000, 1, true, it.now);
            it.feed.publish(it.status, it.now += 100ms, it.toFollower);
            REQUIRE(it.toFollower.messages.size() == 1);
            const auto& update = std::get<DirectoryUpdate>(it.toFollower.messages.front().second);
            CHECK(update.items.empty());
            CHECK(update.marks.size() == 1);
            it.deliver();
            CHECK(it.copy.digest() == it.source.digest());
        }
    }

    // Guards against a controller that encodes the same reports again for each balancer when a whole fleet restarts.
    TEST_CASE("parts of a directory are encoded once for all subscribers that request them at about the same time")
    {
        FeedAndSubscriber it;
        for (std::uint64_t id = 1; id <= 150; ++id)
            it.source.apply(support::makeReport(id, 1), {}, it.now);
        adapters::SyncEncoder encoder;
        const auto answerTo = [&](std::uint64_t balancer, std::uint64_t acknowledged) {
            it.toFollower.messages.clear();
            it.feed.handle({ balancer }, { balancer, false, 77, acknowledged }, it.status, it.now, it.toFollower);
            const auto& message = it.toFollower.messages.back().second;
            CHECK(encoder.encode(message, it.now) == adapters::encodeSyncMessage(message));
        };
        for (std::uint64_t balancer = 1; balancer <= 50; ++balancer)
            answerTo(balancer, 0);
        CHECK(encoder.encodedCount() == 1);

        SUBCASE("another part is encoded separately")
        {
            answerTo(1, 100);
            CHECK(encoder.encodedCount() == 2);
        }
        SUBCASE("a part that has changed is encoded again")
        {
            it.source.apply(support::makeReport(5, 2, InstanceState::Draining), {}, it.now);
            answerTo(1, 0);
            CHECK(encoder.encodedCount() == 2);
        }
        SUBCASE("a part is encoded again after a second, because it holds the ages of the reports")
        {
            it.now += 1s;
            answerTo(1, 0);
            CHECK(encoder.encodedCount() == 2);
        }
    }

    // Guards against acknowledgements of drains that are delayed until the directory of a third controller has arrived.
    TEST_CASE("a controller receives the directories of all other controllers in parallel")
    {
        InstanceDirectory copy;
        DirectorySubscriber subscriber({ balancerNode, 5, true, {} }, copy);
        RecordingOutput outbox;
        const core::TimePoint now { 100s };
        for (const core::NodeId other : { core::NodeId { 10 }, core::NodeId { 11 } }) {
            DirectoryUpdate part { other.value, 0, 1, {}, {}, 0, {}, 0, true };
            part.items.push_back({ support::makeReport(other.value, 1), {}, false });
            subscriber.handle(other, part, now, outbox);
            REQUIRE(!outbox.messages.empty());
            CHECK(outbox.messages.back().first == other);
        }
    }

    TEST_CASE("a balancer receives a directory from one controller and compares digests with the others")
    {
        constexpr core::NodeId otherNode { 11 };
        FeedAndSubscriber it;
        for (std::uint64_t id = 1; id <= 150; ++id)
            it.source.apply(support::makeReport(id, 1), {}, it.now);
        InstanceDirectory otherSource;
        for (std::uint64_t id = 150; id > 0; --id)
            otherSource.apply(support::makeReport(id, 1), {}, it.now);
        DirectoryFeed other { 78, otherSource };
        it.subscribe();
        REQUIRE(it.subscriber.hasCompleteDirectory());

        const auto subscribeToOther = [&] {
            it.subscriber.addController(otherNode);
            it.subscriber.tick(it.now += 10ms, it.toController);
            const auto found
                = std::ranges::find(it.toController.messages, otherNode, &std::pair<core::NodeId, SyncMessage>::first);
            REQUIRE(found != it.toController.messages.end());
            other.handle(balancerNode, std::get<Subscription>(found->second), it.status, it.now, it.toFollower);
            return std::get<DirectoryUpdate>(it.toFollower.messages.back().second);
        };
        SUBCASE("a controller with an equal directory sends no reports")
        {
            const auto update = subscribeToOther();
            CHECK(update.items.empty());
            CHECK(!update.hasMore);
            it.subscriber.handle(otherNode, update, it.now, it.toController);
        }
        SUBCASE("a controller that holds another state of one upstream reports that it has more changes")
        {
            otherSource.apply(support::makeReport(7, 2, InstanceState::Draining), {}, it.now);
            CHECK(subscribeToOther().hasMore);
        }
    }

    // Guards against a whole fleet that requests each new configuration from the same controller.
    // Guards against flows that are refused, or wait for 100 ms, after all machines have started together and one of
    // the controllers has lost its disk: its empty directory counted as complete, and balancers of its zone followed
    // it.
    TEST_CASE("a balancer follows a controller that knows upstreams rather than an empty one of its own zone")
    {
        constexpr core::NodeId emptyNode { 11 };
        InstanceDirectory filledDirectory;
        InstanceDirectory emptyDirectory;
        InstanceDirectory copy;
        DirectoryFeed filled { 77, filledDirectory };
        DirectoryFeed empty { 78, emptyDirectory };
        SubscriberOptions options { balancerNode, 5, false, { controllerNode, emptyNode } };
        options.zone = "a";
        DirectorySubscriber subscriber(options, copy);
        RecordingOutput toControllers;
        RecordingOutput toBalancer;
        core::TimePoint now { 100s };
        filledDirectory.apply(support::makeReport(1, 1), {}, now);
        const std::vector members { controllerNode, emptyNode };
        const FeedStatus filledStatus { 3, members, 1, "b", false };
        const FeedStatus emptyStatus { 3, members, 1, "a", false };
        const auto exchange = [&](core::NodeId node, DirectoryFeed& feed, const FeedStatus& status) {
            for (const auto& [to, message] : std::exchange(toControllers.messages, {})) {
                if (to == node)
                    feed.handle(balancerNode, std::get<Subscription>(message), status, now, toBalancer);
                else
                    toControllers.messages.emplace_back(to, message);
            }
            for (const auto& [to, message] : std::exchange(toBalancer.messages, {}))
                subscriber.handle(node, std::get<DirectoryUpdate>(message), now, toControllers);
        };

        subscriber.tick(now, toControllers);
        exchange(emptyNode, empty, emptyStatus);
        CHECK(!subscriber.hasCompleteDirectory());
        exchange(controllerNode, filled, filledStatus);
        subscriber.tick(now += 25ms, toControllers);
        CHECK(subscriber.followedController() == controllerNode);
        exchange(controllerNode, filled, filledStatus);
        CHECK(subscriber.hasCompleteDirectory());
        CHECK(copy.find({ 1 }) != nullptr);
    }

    TEST_CASE("balancers that are notified of a configuration at the same time request it from different controllers")
    {
        const std::vector<core::NodeId> controllers { { 10 }, { 11 }, { 12 } };
        constexpr std::uint64_t fleetSize = 60;
        const core::TimePoint now { 100s };
        std::map<core::NodeId, unsigned> requestCounts;
        InstanceDirectory copy;
        RecordingOutput outbox;
        for (std::uint64_t process = 1; process <= fleetSize; ++process) {
            DirectorySubscriber subscriber({ balancerNode, process, false, controllers }, copy);
            for (const auto& it : controllers)
                subscriber.handle(it, { 77, 0, 0, {}, {}, 3, controllers, 1, false, {}, "a", true }, now, outbox);
            subscriber.fetchConfiguration(2, now, outbox);
            ++requestCounts[outbox.messages.back().first];
            const auto first = outbox.messages.back().first;
            subscriber.fetchConfiguration(2, now + 1s, outbox);
            CHECK(outbox.messages.back().first != first);
        }
        for (const auto& it : controllers)
            CHECK(requestCounts[it] >= fleetSize / 6);
    }

    // Guards against a configuration that counts as the newest one because controllers without a say confirm it.
    TEST_CASE("a configuration is confirmed by a majority of the controllers")
    {
        const std::vector<core::NodeId> controllers { { 10 }, { 11 }, { 12 } };
        core::TimePoint now { 100s };
        InstanceDirectory copy;
        RecordingOutput outbox;
        DirectorySubscriber subscriber({ balancerNode, 5, false, controllers }, copy);
        const auto receive
            = [&](core::NodeId from, const DirectoryUpdate& update) { subscriber.handle(from, update, now, outbox); };
        CHECK(subscriber.checkConfiguration(9, 0, now) == ConfigurationCheck::Isolated);
        receive(controllers[0], statusOf(9, 9, true));
        CHECK(subscriber.checkConfiguration(9, 0, now) == ConfigurationCheck::Isolated);

        SUBCASE("that have logged no newer version")
        {
            receive(controllers[1], statusOf(8, 9, true));
            CHECK(subscriber.checkConfiguration(9, 0, now) == ConfigurationCheck::Confirmed);
            CHECK(subscriber.checkConfiguration(9, 0, now + contactLimit + 1ms) == ConfigurationCheck::Isolated);
        }
        SUBCASE("not by one that has logged a newer version")
        {
            receive(controllers[1], statusOf(9, 12, true));
            CHECK(subscriber.checkConfiguration(9, 0, now) == ConfigurationCheck::Unconfirmed);
            CHECK(subscriber.checkConfiguration(12, 0, now) == ConfigurationCheck::Confirmed);
        }
        SUBCASE("not by one that has lost its disk")
        {
            receive(controllers[1], statusOf(0, 0, false));
            CHECK(subscriber.checkConfiguration(9, 0, now) == ConfigurationCheck::Unconfirmed);
        }
        SUBCASE("not by one that is no member")
        {
            receive({ 13 }, statusOf(9, 9, true));
            CHECK(subscriber.checkConfiguration(9, 0, now) == ConfigurationCheck::Isolated);
        }
    }

    TEST_CASE("a change counts as confirmed only after the other controller has acknowledged it")
    {
        FeedAndSubscriber it(true);
        it.source.apply(support::makeReport(1, 1), {}, it.now);
        it.subscribe();
        it.source.apply(support::makeReport(1, 2, InstanceState::Draining), {}, it.now);
        const auto change = it.source.find({ 1 })->lastChange;
        const core::NodeId others[] { balancerNode };
        CHECK(it.feed.confirmations(change, others) == 0);
        it.feed.publish(it.status, it.now, it.toFollower);
        it.deliver();
        CHECK(it.feed.confirmations(change, others) == 1);
    }

    // Guards against an upstream that reports to a controller of another zone for its whole lifetime.
    TEST_CASE("a controller lists the current controllers of a zone that upstreams of the zone can report to")
    {
        FeedAndSubscriber it(true);
        it.subscribe();
        CHECK(it.subscriber.currentControllersIn("a", it.now) == std::vector { controllerNode });
        CHECK(it.subscriber.currentControllersIn("b", it.now).empty());

        SUBCASE("a controller that is not current is not listed")
        {
            it.status.isCurrent = false;
            it.subscribe();
            CHECK(it.subscriber.currentControllersIn("a", it.now).empty());
        }
        SUBCASE("a controller that does not answer is not listed")
        {
            for (int n = 0; n < 3; ++n)
                it.subscriber.tick(it.now += 500ms, it.toController);
            CHECK(it.subscriber.currentControllersIn("a", it.now).empty());
        }
    }

    TEST_CASE("a restarted controller announces itself to its former balancers before their seeds are up")
    {
        // Guards against a fleet that stays idle after a loss of all machines until the seeds, which start last, are
        // up.
        FeedAndSubscriber it;
        DirectorySubscriber starting({ balancerNode, 6, false, { { 99 } } }, it.copy);
        it.source.apply(support::makeReport(1, 1), {}, it.now);
        it.feed.setFormerBalancers({ balancerNode }, it.now);
        it.feed.publish(it.status, it.now, it.toFollower);
        REQUIRE(it.toFollower.messages.size() == 1);
        starting.handle(
            controllerNode, std::get<DirectoryUpdate>(it.toFollower.messages.front().second), it.now, it.toController);
        starting.tick(it.now, it.toController);
        const auto subscription
            = std::ranges::find(it.toController.messages, controllerNode, &std::pair<core::NodeId, SyncMessage>::first);
        REQUIRE(subscription != it.toController.messages.end());
        it.feed.handle(balancerNode, std::get<Subscription>(subscription->second), it.status, it.now, it.toFollower);
        starting.handle(
            controllerNode, std::get<DirectoryUpdate>(it.toFollower.messages.back().second), it.now, it.toController);
        CHECK(it.copy.find({ 1 }) != nullptr);
        // No announcements are sent to a balancer that has subscribed.
        it.toFollower.messages.clear();
        it.feed.publish(it.status, it.now += 60ms, it.toFollower);
        for (const auto& [node, message] : it.toFollower.messages)
            CHECK(std::get<DirectoryUpdate>(message).to > 0);
    }

    TEST_CASE("a subscriber adopts the members of the controller group and drops those that have left")
    {
        FeedAndSubscriber it;
        it.status.controllers = { controllerNode, { 11 } };
        it.subscribe();
        it.now += 1s;
        it.subscriber.tick(it.now, it.toController);
        CHECK(it.toController.messages.size() == 2);
        it.deliver();
        it.status = { 3, { controllerNode }, 2 };
        it.subscribe();
        it.now += 1s;
        it.subscriber.tick(it.now, it.toController);
        CHECK(it.toController.messages.size() == 1);
    }

    // Guards against a controller that has rejoined the group after a partition, but exchanges no reports with the
    // others, because all controllers that its last updates have named are gone.
    TEST_CASE("a controller subscribes to the voters that its own log names")
    {
        FeedAndSubscriber it(true);
        it.subscribe();
        it.subscriber.adoptVoters({ { 31 }, { 32 } }, 5);
        it.now += 1s;
        it.subscriber.tick(it.now, it.toController);
        std::set<core::NodeId> receivers;
        for (const auto& [node, message] : it.toController.messages)
            receivers.insert(node);
        CHECK(receivers == std::set<core::NodeId> { controllerNode, { 31 }, { 32 } });

        // An update with an older membership does not undo it.
        it.deliver();
        CHECK(it.subscriber.reachableAmong(std::vector<core::NodeId> { controllerNode, { 31 } }, it.now) == 1);
        it.now += 1s;
        it.subscriber.tick(it.now, it.toController);
        CHECK(it.toController.messages.size() == 3);
    }

    TEST_CASE("messages are equal after encoding and decoding, and truncated or extended ones are rejected")
    {
        const std::vector<SyncMessage> messages {
            Subscription { 1, true, 2, 3, 4, { { 5 } }, FollowMode::StatusOnly },
            DirectoryUpdate { 1, 2, 3, { { support::makeReport(1, 1), 5ms, true } }, { { { 2 }, 3, 4 } }, 9, { { 5 } },
                6, true, { { { 7 }, 8, 9, 10ms, true } }, "zone", true },
            statusOf(9, 9, true),
            statusOf(9, 12, true),
            statusOf(9, 9, false),
            ConfigurationRequest { 4 },
            UnresponsiveReport { { 5 }, 6 },
            FailureReport { { { 5 }, 6 }, { 7 } },
            FailureMarks { { { { 5 }, 6 }, { { 8 }, 9 } } },
            ColdStartOffer { { { 5 }, 6, 7 } },
            ColdStartClaim { { { 5 }, 6, 7 }, ~std::uint64_t { 0 } },
            ColdStartGrant { { { 5 }, 6, 7 }, 8, 9 },
            ConfigurationTransfer { 4, std::string("\x00\xff text", 7) },
        };
        for (const auto& it : messages) {
            const auto bytes = adapters::encodeSyncMessage(it);
            CHECK(adapters::decodeSyncMessage(bytes) == it);
            for (std::size_t n = 0; n < bytes.size(); ++n)
                CHECK_FALSE(adapters::decodeSyncMessage(std::string_view(bytes).substr(0, n)));
            CHECK_FALSE(adapters::decodeSyncMessage(bytes + "x"));
        }
    }
}
