#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/adapters/SyncEncoder.h"
#include "ibisgw/core/ObjectReader.h"
#include "ibisgw/runtime/ConfigurationMonitor.h"
#include "ibisgw/sync/DirectoryFeed.h"
#include "ibisgw/sync/DirectorySubscriber.h"
#include "support/InstanceReports.h"

#include <doctest/doctest.h>

#include <map>
#include <utility>

using namespace ibisgw;
using namespace ibisgw::sync;
using namespace ibisgw::upstream;
using namespace std::chrono_literals;

namespace {

struct UpdateCollector final : SyncOutput {
    std::map<core::NodeId, std::vector<ZoneEvacuations>> received;

    void send(core::NodeId to, const SyncMessage& message) override
    {
        if (const auto* it = std::get_if<DirectoryUpdate>(&message))
            received[to].push_back(it->evacuations);
    }
};

DirectoryUpdate updateWith(ZoneEvacuations evacuations, std::uint64_t loggedRevision, bool isVoter = true)
{
    DirectoryUpdate update { .feed = 77, .version = 9 };
    update.loggedVersion = 9;
    update.isVoter = isVoter;
    update.evacuations = std::move(evacuations);
    update.loggedEvacuationRevision = loggedRevision;
    return update;
}

bool isAccepted(const DirectoryUpdate& update)
{
    return adapters::decodeSyncMessage(adapters::encodeSyncMessage(update)) == SyncMessage(update);
}

} // namespace

TEST_SUITE("sync")
{
    TEST_CASE("evacuated zones in the encoding of an update")
    {
        // Guards against an upgrade after which earlier daemons reject each other's updates although no order was
        // given.
        SUBCASE("before the first order the bytes are those of earlier daemons")
        {
            using namespace std::string_literals;
            DirectoryUpdate update { 1, 2, 3, {}, { { { 2 }, 3, 4 } }, 9, { { 5 } }, 6, true, {}, "zone", true, 9 };
            // Recorded with the encoder before the evacuated zones were added.
            const auto fields = "\x03\x01\x01\x02\x03\x80\x81\x83\x02\x03\x04\x09\x81\x05\x06\xf5\x80\x64zone\xf5"s;
            CHECK(adapters::encodeSyncMessage(update) == "\x8e"s + fields);
            CHECK(adapters::decodeSyncMessage("\x8e"s + fields) == SyncMessage(update));
            update.loggedVersion = 12;
            CHECK(adapters::encodeSyncMessage(update) == "\x90"s + fields + "\x0c\xf5"s);
            CHECK(adapters::decodeSyncMessage("\x90"s + fields + "\x0c\xf5"s) == SyncMessage(update));
        }
        SUBCASE("sets and revisions are equal after decoding")
        {
            CHECK(isAccepted(updateWith({}, 1)));
            CHECK(isAccepted(updateWith({ 2, {} }, 2)));
            CHECK(isAccepted(updateWith({ 2, { "a", "b" } }, 3, false)));
        }
        // Guards against a set in which lookups fail, or that takes up the memory of a balancer.
        SUBCASE("malformed and oversized lists are rejected")
        {
            const std::string longest(core::maxTextBytes, 'x');
            CHECK(isAccepted(updateWith({ 1, { longest } }, 1)));
            CHECK_FALSE(isAccepted(updateWith({ 1, { longest + "x" } }, 1)));
            CHECK_FALSE(isAccepted(updateWith({ 1, { "" } }, 1)));
            CHECK_FALSE(isAccepted(updateWith({ 1, { "b", "a" } }, 1)));
            CHECK_FALSE(isAccepted(updateWith({ 1, { "a", "a" } }, 1)));
            CHECK_FALSE(isAccepted(updateWith({ 0, { "a" } }, 1)));
            std::vector<core::ZoneName> zones;
            for (int n = 100; n < 356; ++n)
                zones.push_back(std::to_string(n));
            CHECK(isAccepted(updateWith({ 1, zones }, 1)));
            zones.emplace_back("356");
            CHECK_FALSE(isAccepted(updateWith({ 1, zones }, 1)));
        }
        SUBCASE("truncated, extended and mistyped updates are rejected")
        {
            const auto bytes = adapters::encodeSyncMessage(updateWith({ 1, { "a" } }, 1));
            for (std::size_t n = 0; n < bytes.size(); ++n)
                CHECK_FALSE(adapters::decodeSyncMessage(std::string_view(bytes).substr(0, n)));
            // The list of zones is the last of 19 elements and has 3 bytes.
            REQUIRE(bytes.front() == '\x93');
            const auto withoutList = bytes.substr(1, bytes.size() - 4);
            CHECK_FALSE(adapters::decodeSyncMessage("\x92" + withoutList));
            CHECK_FALSE(adapters::decodeSyncMessage("\x93" + withoutList + "\x81\x07"));
            CHECK_FALSE(adapters::decodeSyncMessage("\x94" + bytes.substr(1) + "\x01"));
        }
    }

    // Guards against cached bytes that tell a balancer of an earlier set.
    TEST_CASE("an update with another set or another logged revision is encoded again")
    {
        adapters::SyncEncoder encoder;
        for (const auto& [committed, logged] : { std::pair { 0, 0 }, { 0, 1 }, { 1, 1 }, { 1, 2 } }) {
            auto update = updateWith({ static_cast<std::uint64_t>(committed), {} }, static_cast<std::uint64_t>(logged));
            update.items.push_back({ support::makeReport(1) });
            CHECK(encoder.encode(update, core::TimePoint { 100s }) == adapters::encodeSyncMessage(update));
        }
        CHECK(encoder.encodedCount() == 4);
    }

    TEST_CASE("a controller sends a changed set of evacuated zones to all subscribers")
    {
        constexpr core::NodeId follower { 20 };
        constexpr core::NodeId statusFollower { 21 };
        constexpr core::NodeId controller { 11 };
        core::TimePoint now { 100s };
        InstanceDirectory directory;
        DirectoryFeed feed(77, directory);
        FeedStatus status { 3, { controller }, 1, "a", true };
        UpdateCollector output;
        feed.handle(follower, { 5, false }, status, now, output);
        feed.handle(statusFollower, { 6, false, 0, 0, 0, {}, FollowMode::StatusOnly }, status, now, output);
        feed.handle(controller, { 7, true }, status, now, output);
        feed.publish(status, now, output);
        output.received.clear();
        status.evacuations = { 1, { "a" } };
        now += 1ms;
        feed.publish(status, now, output);

        // Guards against balancers that learn of an order only with their next subscription, 1.5 s later.
        SUBCASE("at once, also to those that follow another controller and to controllers")
        {
            for (const auto& it : { follower, statusFollower, controller })
                CHECK(output.received[it] == std::vector { status.evacuations });
        }
        SUBCASE("once, and nothing while it stays the same")
        {
            output.received.clear();
            for (int n = 0; n < 100; ++n)
                feed.publish(status, now += 20ms, output);
            CHECK(output.received.empty());
        }
        SUBCASE("and again in the reply to each subscription, since the update may be lost")
        {
            output.received.clear();
            feed.handle(statusFollower, { 6, false, 0, 0, 0, {}, FollowMode::StatusOnly }, status, now, output);
            CHECK(output.received[statusFollower] == std::vector { status.evacuations });
        }
    }

    TEST_CASE("a balancer that has received sets of evacuated zones from three controllers")
    {
        const std::vector<core::NodeId> controllers { { 10 }, { 11 }, { 12 } };
        core::TimePoint now { 100s };
        InstanceDirectory directory;
        UpdateCollector output;
        DirectorySubscriber subscriber({ { 20 }, 5, false, controllers }, directory);
        const auto receive = [&](std::size_t controller, const DirectoryUpdate& update) {
            subscriber.handle(controllers[controller], update, now, output);
        };
        const auto check = [&] { return subscriber.checkConfiguration(9, subscriber.evacuations().revision, now); };
        receive(0, updateWith({ 1, { "a" } }, 1));
        CHECK(check() == ConfigurationCheck::Isolated);

        // Guards against flows in an evacuated zone because a controller that lags behind was heard last.
        SUBCASE("keeps the one with the highest revision")
        {
            receive(1, updateWith({ 3, { "a", "b" } }, 3));
            receive(0, updateWith({ 2, { "b" } }, 2));
            receive(2, updateWith({}, 0));
            CHECK(subscriber.evacuations() == ZoneEvacuations { 3, { "a", "b" } });
            CHECK(check() == ConfigurationCheck::Confirmed);
        }
        SUBCASE("has it confirmed by a majority of voters that have logged no newer one")
        {
            receive(1, updateWith({ 1, { "a" } }, 1));
            CHECK(check() == ConfigurationCheck::Confirmed);
        }
        SUBCASE("has it not confirmed by a controller that has logged a newer one, committed or not")
        {
            receive(1, updateWith({ 1, { "a" } }, 2));
            CHECK(check() == ConfigurationCheck::Unconfirmed);
            receive(2, updateWith({ 1, { "a" } }, 1));
            CHECK(check() == ConfigurationCheck::Confirmed);
        }
        // Guards against a balancer that starts beside an outdated controller and places flows in a zone whose
        // evacuation was acknowledged.
        SUBCASE("places no flow while the others in reach have no vote or know of a newer set")
        {
            auto other = updateWith({ 1, { "a" } }, 2);
            SUBCASE("one that has logged it") { }
            SUBCASE("one that has lost its disk")
            {
                other = updateWith({}, 0, false);
            }
            runtime::ConfigurationMonitor monitor;
            const auto runFor = [&](core::Duration duration) {
                for (const auto end = now + duration; now < end; now += 100ms) {
                    receive(0, updateWith({ 1, { "a" } }, 1));
                    receive(1, other);
                    monitor.update(check(), now);
                }
            };
            runFor(runtime::ConfigurationMonitor::confirmationTimeout + 200ms);
            CHECK_FALSE(monitor.mayPlaceFlows());
            receive(2, updateWith({ 2, { "b" } }, 2));
            runFor(200ms);
            CHECK(subscriber.evacuations() == ZoneEvacuations { 2, { "b" } });
            CHECK(monitor.mayPlaceFlows());
        }
    }
}
