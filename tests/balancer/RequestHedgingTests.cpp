#include "ibisgw/balancer/Balancer.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/RecordingOutput.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;
using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

constexpr core::Endpoint serviceAddress { 0xc0000201, 443 };
constexpr core::KindId feedKind = 1;
constexpr core::KindId bookingKind = 2;
constexpr std::uint32_t lateCaller = 1'000'000;

std::shared_ptr<const configuration::Document> makeDocument(double maxShare)
{
    configuration::RequestKind feed { feedKind, "feed" };
    feed.idempotent = true;
    configuration::RequestKind booking { bookingKind, "booking" };
    configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
    service.kinds = { feed, booking };
    service.hedging.maxShare = maxShare;
    return std::make_shared<const configuration::Document>(
        configuration::Document { { { "peachtree" } }, { { "a", "r" } }, { service } });
}

// One balancer that is the home of all flows, with three upstreams that answer after 20 ms. After 15 s it may hedge.
struct Fixture {
    explicit Fixture(double maxShare = 0.05, core::KindId kind = feedKind)
        : kind(kind)
    {
        balancer.applyDocument(makeDocument(maxShare), now);
        for (const auto& it : upstreams)
            announce(it, upstream::UpstreamState::Ready);
        for (std::uint32_t n = 1; n <= 300; ++n) {
            const auto upstream = openAndRequest(n);
            now += 20ms;
            receive(PacketType::Answer, upstream, n, 1);
            send(packetOf(PacketType::Close, n));
            now += 30ms;
            balancer.tick(now, output);
        }
        output.clear();
    }

    void announce(core::UpstreamId id, upstream::UpstreamState state, core::Incarnation incarnation = 1)
    {
        balancer.handleAnnouncement({ id, "slotdesk", "a", incarnation, ++sequence, state, 2 }, now);
    }
    Packet packetOf(PacketType type, std::uint32_t caller, core::RequestId request = 0) const
    {
        Packet packet;
        packet.type = type;
        packet.flow = { { caller, 50000 }, serviceAddress };
        packet.kind = kind;
        packet.request = request;
        packet.deadlineMs = 2000;
        return packet;
    }
    void send(const Packet& packet) { balancer.handleCallerPacket(packet, now, output); }
    void receive(PacketType type, core::UpstreamId from, std::uint32_t caller, core::RequestId request = 0,
        RefusalKind refusal = RefusalKind::None)
    {
        receive(packetOf(type, caller, request), from, refusal);
    }
    void receive(Packet packet, core::UpstreamId from, RefusalKind refusal = RefusalKind::None)
    {
        packet.upstream = from;
        packet.refusal = refusal;
        balancer.handleUpstreamPacket(packet, now, output);
    }
    core::UpstreamId openAndRequest(std::uint32_t caller)
    {
        send(packetOf(PacketType::Open, caller));
        const auto upstream = output.toUpstreams.back().first;
        receive(PacketType::Opened, upstream, caller);
        send(packetOf(PacketType::Request, caller, 1));
        return upstream;
    }
    // Packets of this type to any upstream, without those on the caller's flow to its own upstream.
    std::vector<Packet> sentToSecond(PacketType type) const
    {
        std::vector<Packet> packets;
        for (const auto& [upstream, packet] : output.toUpstreams) {
            if (packet.type == type && packet.flow.caller != core::Endpoint { lateCaller, 50000 })
                packets.push_back(packet);
        }
        return packets;
    }
    bool hasSent(PacketType type, core::UpstreamId upstream) const
    {
        return std::ranges::any_of(
            output.toUpstreams, [&](const auto& it) { return it.first == upstream && it.second.type == type; });
    }
    std::size_t toCaller(PacketType type) const
    {
        return static_cast<std::size_t>(
            std::ranges::count_if(output.toCallers, [&](const auto& it) { return it.type == type; }));
    }
    // Sends a request that is late, and opens the flow of the extra attempt.
    void startAttempt()
    {
        first = openAndRequest(lateCaller);
        output.clear();
        now += 100ms;
        balancer.tick(now, output);
        REQUIRE(sentToSecond(PacketType::Open).size() == 1);
        open = sentToSecond(PacketType::Open).front();
        second = open.upstream;
    }
    void startCopy()
    {
        startAttempt();
        auto opened = open;
        opened.type = PacketType::Opened;
        receive(opened, second);
        REQUIRE(sentToSecond(PacketType::Request).size() == 1);
        copy = sentToSecond(PacketType::Request).front();
        output.clear();
    }
    void answerCopy(PacketType type = PacketType::Answer, RefusalKind refusal = RefusalKind::None)
    {
        auto answer = copy;
        answer.type = type;
        receive(answer, second, refusal);
    }

    core::PcgRandomSource random { 1 };
    core::TimePoint now { core::TimePoint {} + 24h };
    std::vector<core::UpstreamId> upstreams { { 11 }, { 12 }, { 13 } };
    std::uint64_t sequence { 0 };
    support::RecordingOutput output;
    core::KindId kind;
    balancer::Balancer balancer { { .self = { 0x0a0000011b58 }, .zone = "a" }, { flow::TokenKey {}, std::nullopt },
        random };
    core::UpstreamId first;
    core::UpstreamId second;
    Packet open;
    Packet copy;
};

} // namespace

TEST_SUITE("balancer")
{
    // Guards against answers or tokens of a second upstream that move the caller's flow, and against two answers.
    TEST_CASE("a late idempotent request gets one extra attempt at another upstream, and the first answer wins")
    {
        Fixture fixture;
        fixture.startCopy();
        auto& balancer = fixture.balancer;
        CHECK(fixture.second != fixture.first);
        CHECK(fixture.copy.flow.caller != core::Endpoint { lateCaller, 50000 });
        CHECK_FALSE(fixture.copy.token.isPresent());
        CHECK(balancer.counters().hedgesAttempted == 1);

        SUBCASE("the extra attempt answers first")
        {
            fixture.answerCopy();
            REQUIRE(fixture.output.toCallers.size() == 1);
            const auto& answer = fixture.output.toCallers.front();
            CHECK(answer.type == PacketType::Answer);
            CHECK(answer.flow.caller.address == lateCaller);
            CHECK(answer.request == 1);
            CHECK(answer.upstream == fixture.first);
            CHECK(answer.token.upstream == fixture.first);
            CHECK(balancer.counters().hedgesWon == 1);
            CHECK(fixture.hasSent(PacketType::Cancel, fixture.first));
            CHECK(fixture.hasSent(PacketType::Close, fixture.second));
            SUBCASE("the late answer of the first upstream is dropped")
            {
                fixture.receive(PacketType::Answer, fixture.first, lateCaller, 1);
                CHECK(fixture.output.toCallers.size() == 1);
            }
            SUBCASE("so is its refusal of the cancelled request, which isn't true for the request")
            {
                fixture.receive(PacketType::Refusal, fixture.first, lateCaller, 1, RefusalKind::NotRun);
                CHECK(fixture.output.toCallers.size() == 1);
            }
            SUBCASE("a repeated request goes to the first upstream and gets no other attempt")
            {
                fixture.output.clear();
                fixture.send(fixture.packetOf(PacketType::Request, lateCaller, 1));
                CHECK(fixture.hasSent(PacketType::Request, fixture.first));
                fixture.now += 300ms;
                balancer.tick(fixture.now, fixture.output);
                CHECK(fixture.sentToSecond(PacketType::Open).empty());
            }
            SUBCASE("the flow stays with its first upstream")
            {
                fixture.output.clear();
                fixture.send(fixture.packetOf(PacketType::Request, lateCaller, 2));
                CHECK(fixture.output.toUpstreams.front().first == fixture.first);
            }
        }
        SUBCASE("the first upstream answers first")
        {
            fixture.receive(PacketType::Answer, fixture.first, lateCaller, 1);
            CHECK(fixture.toCaller(PacketType::Answer) == 1);
            CHECK(fixture.hasSent(PacketType::Cancel, fixture.second));
            CHECK(fixture.hasSent(PacketType::Close, fixture.second));
            fixture.answerCopy();
            CHECK(fixture.output.toCallers.size() == 1);
            CHECK(balancer.counters().hedgesWon == 0);
        }
        SUBCASE("neither answers: there is no third attempt")
        {
            for (int n = 0; n < 60; ++n) {
                fixture.now += 50ms;
                balancer.tick(fixture.now, fixture.output);
            }
            CHECK(balancer.counters().hedgesAttempted == 1);
            CHECK(balancer.hedging().requestCount() == 0);
            CHECK(balancer.hedging().attemptCount() == 0);
            CHECK(balancer.hedging().storedBytes() == 0);
            CHECK(fixture.hasSent(PacketType::Close, fixture.second));
        }
        SUBCASE("the caller cancels the request")
        {
            fixture.send(fixture.packetOf(PacketType::Cancel, lateCaller, 1));
            CHECK(fixture.hasSent(PacketType::Cancel, fixture.second));
            fixture.answerCopy();
            CHECK(fixture.output.toCallers.empty());
        }
        SUBCASE("the caller closes the flow")
        {
            fixture.send(fixture.packetOf(PacketType::Close, lateCaller));
            CHECK(fixture.hasSent(PacketType::Close, fixture.second));
            CHECK(balancer.hedging().attemptCount() == 0);
        }
    }

    // Guards against an extra attempt whose failure ends the request, and against a `not_run` that a copy contradicts.
    TEST_CASE("a failed attempt leaves the other one as if it were alone")
    {
        Fixture fixture;
        fixture.startCopy();
        SUBCASE("the second upstream refuses")
        {
            fixture.answerCopy(PacketType::Refusal, RefusalKind::NotRun);
        }
        SUBCASE("the second upstream has restarted and doesn't know the flow")
        {
            fixture.answerCopy(PacketType::Reset);
        }
        SUBCASE("the second upstream has stopped")
        {
            fixture.announce(fixture.second, upstream::UpstreamState::Stopped);
            fixture.now += 300ms;
            fixture.balancer.tick(fixture.now, fixture.output);
        }
        CHECK(fixture.output.toCallers.empty());
        CHECK(fixture.balancer.hedging().attemptCount() == 0);
        fixture.receive(PacketType::Answer, fixture.first, lateCaller, 1);
        CHECK(fixture.toCaller(PacketType::Answer) == 1);
    }

    TEST_CASE("the extra attempt goes on when the first one fails")
    {
        Fixture fixture;
        fixture.startCopy();
        const auto checkEnds = [&] {
            CHECK(fixture.output.toCallers.empty());
            SUBCASE("and its answer is the only one")
            {
                fixture.answerCopy();
                CHECK(fixture.output.toCallers.size() == 1);
                CHECK(fixture.toCaller(PacketType::Answer) == 1);
            }
            SUBCASE("and when both fail, the outcome is unknown")
            {
                fixture.answerCopy(PacketType::Refusal, RefusalKind::NotRun);
                REQUIRE(fixture.output.toCallers.size() == 1);
                CHECK(fixture.output.toCallers.front().refusal == RefusalKind::OutcomeUnknown);
                CHECK(fixture.output.toCallers.front().request == 1);
            }
        };
        SUBCASE("the first upstream refuses the request")
        {
            fixture.receive(PacketType::Refusal, fixture.first, lateCaller, 1, RefusalKind::NotRun);
            checkEnds();
        }
        SUBCASE("the first upstream has stopped")
        {
            fixture.announce(fixture.first, upstream::UpstreamState::Stopped);
            fixture.now += 300ms;
            fixture.balancer.tick(fixture.now, fixture.output);
            checkEnds();
        }
    }

    // Guards against a `not_run` of a request whose copy has run at the second upstream.
    TEST_CASE("only a refusal of a request that had no extra attempt says that it has not run")
    {
        Fixture fixture;
        SUBCASE("without an extra attempt the refusal is forwarded unchanged")
        {
            fixture.first = fixture.openAndRequest(lateCaller);
            fixture.receive(PacketType::Refusal, fixture.first, lateCaller, 1, RefusalKind::NotRun);
            CHECK(fixture.output.toCallers.back().refusal == RefusalKind::NotRun);
            SUBCASE("and none starts later")
            {
                fixture.now += 100ms;
                fixture.balancer.tick(fixture.now, fixture.output);
                CHECK(fixture.balancer.counters().hedgesAttempted == 0);
            }
        }
        SUBCASE("after a failed extra attempt the outcome is unknown")
        {
            fixture.startCopy();
            fixture.answerCopy(PacketType::Reset);
            fixture.receive(PacketType::Refusal, fixture.first, lateCaller, 1, RefusalKind::NotRun);
            CHECK(fixture.output.toCallers.back().refusal == RefusalKind::OutcomeUnknown);
        }
    }

    // Guards against requests that the home doesn't know, and against extra attempts of answered ones: the fabric
    // delivers most packets of a flow to other balancers.
    TEST_CASE("other balancers report requests and their ends to the home of the flow")
    {
        Fixture fixture;
        auto& balancer = fixture.balancer;
        SUBCASE("the home starts an extra attempt of a reported request")
        {
            fixture.send(fixture.packetOf(PacketType::Open, lateCaller));
            auto request = fixture.packetOf(PacketType::Request, lateCaller, 1);
            request.upstream = fixture.output.toUpstreams.back().first;
            request.relayHops = 8;
            bool isExpected = false;
            bool isAnswered = false;
            SUBCASE("of a flow whose `opened` it has forwarded")
            {
                fixture.receive(PacketType::Opened, request.upstream, lateCaller);
                SUBCASE("if the other balancer took the same upstream")
                {
                    isExpected = true;
                }
                SUBCASE("but not if it took another one, whose name and token the answer would carry")
                {
                    const auto isOther = [&](core::UpstreamId it) { return it != request.upstream; };
                    request.upstream = *std::ranges::find_if(fixture.upstreams, isOther);
                }
                SUBCASE("but not if it is reported as answered")
                {
                    isAnswered = true;
                }
            }
            SUBCASE("of a flow whose caller has the upstream's token")
            {
                request.token = flow::FlowTokenCodec({}, std::nullopt).issue(request.flow, request.upstream);
                isExpected = true;
            }
            SUBCASE("but not of a flow that the caller may have opened at another upstream")
            {
                isExpected = false;
            }
            balancer.handleRelayedPacket(request, fixture.now, fixture.output);
            CHECK(fixture.output.toUpstreams.back().second.type == PacketType::Open);
            if (isAnswered) {
                request.type = PacketType::Cancel;
                balancer.handleRelayedPacket(request, fixture.now, fixture.output);
            }
            fixture.now += 100ms;
            balancer.tick(fixture.now, fixture.output);
            CHECK(balancer.counters().hedgesAttempted == (isExpected ? 1 : 0));
        }
        SUBCASE("a balancer that isn't the home reports")
        {
            constexpr core::NodeId peer { 0x0a0000021b58 };
            const auto first = fixture.openAndRequest(lateCaller);
            balancer.setPeers({ { { 0x0a0000011b58 }, "a", true }, { peer, "a" } }, fixture.now);
            fixture.output.clear();
            fixture.send(fixture.packetOf(PacketType::Request, lateCaller, 2));
            fixture.receive(PacketType::Answer, first, lateCaller, 2);
            fixture.receive(PacketType::Refusal, first, lateCaller, 3, RefusalKind::NotRun);
            REQUIRE(fixture.output.toPeers.size() == 3);
            CHECK(fixture.output.toPeers[0].second.type == PacketType::Request);
            CHECK(fixture.output.toPeers[0].second.upstream == first);
            CHECK(fixture.output.toPeers[1].second.type == PacketType::Cancel);
            CHECK(fixture.output.toPeers[2].second.type == PacketType::Refusal);
            CHECK(fixture.output.toCallers.size() == 1);
        }
    }

    // Guards against extra attempts where they aren't allowed.
    TEST_CASE("there is no extra attempt")
    {
        const auto attemptsOf = [](Fixture& fixture) {
            fixture.openAndRequest(lateCaller);
            fixture.now += 100ms;
            fixture.balancer.tick(fixture.now, fixture.output);
            return fixture.balancer.counters().hedgesAttempted;
        };
        SUBCASE("of a kind that isn't idempotent")
        {
            Fixture fixture(0.2, bookingKind);
            CHECK(attemptsOf(fixture) == 0);
            CHECK(fixture.balancer.hedging().requestCount() == 0);
        }
        SUBCASE("without a limit in the document")
        {
            Fixture fixture(0);
            CHECK(attemptsOf(fixture) == 0);
            CHECK(fixture.balancer.hedging().requestCount() == 0);
        }
        SUBCASE("while the balancer is partitioned, because another one may be the home as well")
        {
            Fixture fixture;
            fixture.balancer.setPartitioned(true, fixture.now);
            CHECK(attemptsOf(fixture) == 0);
        }
        SUBCASE("without another upstream")
        {
            Fixture fixture;
            for (const auto& it : { fixture.upstreams[1], fixture.upstreams[2] })
                fixture.announce(it, upstream::UpstreamState::Stopped);
            CHECK(attemptsOf(fixture) == 0);
        }
        SUBCASE("while the service is near its concurrency limit")
        {
            Fixture fixture;
            for (std::uint32_t caller = 1; caller <= 60; ++caller)
                fixture.send(fixture.packetOf(PacketType::Open, 2'000'000 + caller));
            CHECK(attemptsOf(fixture) == 0);
        }
        SUBCASE("after the home of the flow has changed")
        {
            Fixture fixture;
            const flow::RingMember self { { 0x0a0000011b58 }, "a" };
            fixture.send(fixture.packetOf(PacketType::Open, lateCaller));
            fixture.receive(PacketType::Opened, fixture.output.toUpstreams.back().first, lateCaller);
            fixture.balancer.setPeers({ self, { { 2 }, "a" } }, fixture.now);
            fixture.balancer.setPeers({ self }, fixture.now);
            fixture.send(fixture.packetOf(PacketType::Request, lateCaller, 1));
            fixture.now += 100ms;
            fixture.balancer.tick(fixture.now, fixture.output);
            CHECK(fixture.hasSent(PacketType::Request, fixture.output.toUpstreams.back().first));
            CHECK(fixture.balancer.counters().hedgesAttempted == 0);
        }
    }

    // Guards against a balancer that forwards the packets of an extra attempt of another balancer to no one, or takes
    // them for packets of callers' flows.
    TEST_CASE("packets of an extra attempt go to the balancer that started it")
    {
        Fixture fixture;
        constexpr core::NodeId peer { 0x0a0000021b58 };
        fixture.balancer.setPeers({ { { 0x0a0000011b58 }, "a" }, { peer, "a" } }, fixture.now);
        auto opened = fixture.packetOf(PacketType::Opened, 0);
        opened.flow.caller = peer.endpoint();
        const auto flows = fixture.balancer.flowCount();
        fixture.receive(opened, fixture.upstreams[0]);
        REQUIRE(fixture.output.toPeers.size() == 1);
        CHECK(fixture.output.toPeers.front().first == peer);
        CHECK(fixture.output.toCallers.empty());
        CHECK(fixture.balancer.flowCount() == flows);
        SUBCASE("and to no one when it has stopped")
        {
            fixture.balancer.setPeers({ { { 0x0a0000011b58 }, "a" } }, fixture.now);
            fixture.receive(opened, fixture.upstreams[0]);
            CHECK(fixture.output.toPeers.size() == 1);
            CHECK(fixture.output.toCallers.empty());
        }
    }
}
