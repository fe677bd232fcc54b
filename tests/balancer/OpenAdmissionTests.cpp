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
constexpr core::Endpoint otherAddress { 0xc0000202, 443 };
constexpr core::KindId bookingKind = 2;
constexpr core::KindId partitionedKind = 3;
constexpr core::KindId unretriedKind = 4;
constexpr std::uint32_t concurrencyLimit = 2;

std::shared_ptr<const configuration::Document> makeDocument()
{
    configuration::RequestKind booking { bookingKind, "booking" };
    booking.concurrencyLimit = concurrencyLimit;
    booking.queueLimit = 1;
    configuration::RequestKind payment { partitionedKind, "payment" };
    payment.onPartition = configuration::PartitionBehaviour::Refuse;
    configuration::RequestKind unretried { unretriedKind, "unretried" };
    unretried.retryLimit = 0;
    configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
    service.kinds = { booking, payment, unretried };
    configuration::Service other { "regatta-archive", "peachtree", { otherAddress } };
    return std::make_shared<const configuration::Document>(
        configuration::Document { { { "peachtree" } }, { { "a", "r" } }, { service, other } });
}

flow::FlowTokenCodec makeTokens()
{
    return { flow::TokenKey {}, std::nullopt };
}

// One balancer that is the home of all flows, with two upstreams.
struct Fixture {
    explicit Fixture(const balancer::SafetyRules& rules = {})
        : balancer({ .self = { 1 }, .zone = "a", .rules = rules }, makeTokens(), random)
    {
        balancer.applyDocument(makeDocument(), now);
        for (const auto& it : upstreams)
            announce(it, upstream::UpstreamState::Ready);
    }

    void announce(core::UpstreamId id, upstream::UpstreamState state, core::Incarnation incarnation = 1)
    {
        upstream::Announcement announcement { id, "slotdesk", "a", incarnation, ++sequence, state, 2 };
        balancer.handleAnnouncement(announcement, now);
    }

    static Packet packetOf(PacketType type, std::uint32_t caller, core::RequestId request = 0)
    {
        Packet packet;
        packet.type = type;
        packet.flow = { { caller, 50000 }, serviceAddress };
        packet.kind = bookingKind;
        packet.request = request;
        packet.deadlineMs = 2000;
        return packet;
    }

    void fromCaller(const Packet& packet) { balancer.handleCallerPacket(packet, now, output); }
    void fromUpstream(PacketType type, core::UpstreamId upstream, std::uint32_t caller, core::RequestId request = 0)
    {
        auto packet = packetOf(type, caller, request);
        packet.upstream = upstream;
        packet.refusal = type == PacketType::Refusal ? RefusalKind::NotRun : RefusalKind::None;
        balancer.handleUpstreamPacket(packet, now, output);
    }
    void advance(core::Duration duration)
    {
        now += duration;
        balancer.tick(now, output);
    }
    // Sends an open and returns the upstream that received it.
    core::UpstreamId open(std::uint32_t caller)
    {
        fromCaller(packetOf(PacketType::Open, caller));
        REQUIRE(!output.toUpstreams.empty());
        return output.toUpstreams.back().first;
    }
    core::UpstreamId other(core::UpstreamId upstream) const
    {
        return upstream == upstreams[0] ? upstreams[1] : upstreams[0];
    }
    std::size_t sentToUpstream(core::UpstreamId upstream, PacketType type) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            output.toUpstreams, [&](const auto& it) { return it.first == upstream && it.second.type == type; }));
    }
    std::size_t refusals(RefusalKind kind) const
    {
        return static_cast<std::size_t>(std::ranges::count_if(
            output.toCallers, [&](const auto& it) { return it.type == PacketType::Refusal && it.refusal == kind; }));
    }
    std::size_t sentToCaller(PacketType type) const
    {
        return static_cast<std::size_t>(std::ranges::count(output.toCallers, type, &Packet::type));
    }

    const core::UpstreamId upstreams[2] { { 0x0a0100010050 }, { 0x0a0100020050 } };
    core::PcgRandomSource random { 1 };
    support::RecordingOutput output;
    core::TimePoint now { 24h };
    std::uint64_t sequence { 0 };
    balancer::Balancer balancer;
};

} // namespace

TEST_SUITE("balancer")
{
    // Guards against refusals while another upstream has capacity.
    TEST_CASE("an open that its upstream refuses is retried at another upstream")
    {
        Fixture fixture;
        const auto first = fixture.open(1);
        fixture.now += 300ms;
        fixture.fromUpstream(PacketType::Refusal, first, 1);
        CHECK(fixture.sentToUpstream(fixture.other(first), PacketType::Open) == 1);
        CHECK(fixture.output.toUpstreams.back().second.deadlineMs == 1700);
        CHECK(fixture.output.toCallers.empty());

        SUBCASE("the caller is refused when the retry limit is reached")
        {
            fixture.fromUpstream(PacketType::Refusal, fixture.other(first), 1);
            CHECK(fixture.refusals(RefusalKind::NotRun) == 1);
        }
        SUBCASE("a kind with retry limit 0 is not retried although the budget allows it")
        {
            fixture.advance(20s);
            fixture.announce(fixture.upstreams[0], upstream::UpstreamState::Ready);
            fixture.announce(fixture.upstreams[1], upstream::UpstreamState::Ready);
            auto open = Fixture::packetOf(PacketType::Open, 2);
            open.kind = unretriedKind;
            fixture.fromCaller(open);
            fixture.fromUpstream(PacketType::Refusal, fixture.output.toUpstreams.back().first, 2);
            CHECK(fixture.refusals(RefusalKind::NotRun) == 1);
            CHECK(fixture.balancer.counters().opensRetried == 1);
        }
        SUBCASE("the retry budget limits the retries")
        {
            const auto second = fixture.open(2);
            fixture.fromUpstream(PacketType::Refusal, second, 2);
            CHECK(fixture.refusals(RefusalKind::NotRun) == 1);
            CHECK(fixture.balancer.counters().opensRetried == 1);
        }
        SUBCASE("when both upstreams send opened, the caller receives one and the other flow is closed")
        {
            fixture.fromUpstream(PacketType::Opened, first, 1);
            fixture.fromUpstream(PacketType::Opened, fixture.other(first), 1);
            CHECK(fixture.sentToCaller(PacketType::Opened) == 1);
            CHECK(fixture.output.toCallers.back().upstream == fixture.other(first));
            CHECK(fixture.sentToUpstream(first, PacketType::Close) == 1);
        }
        SUBCASE("a late copy of the refusal does not refuse an established flow")
        {
            fixture.fromUpstream(PacketType::Opened, fixture.other(first), 1);
            fixture.fromUpstream(PacketType::Refusal, first, 1);
            fixture.fromUpstream(PacketType::Refusal, fixture.other(first), 1);
            CHECK(fixture.refusals(RefusalKind::NotRun) == 0);
        }
    }

    // Guards against a check of the race above that can't fail: without the rule relayOpenedToHome, the upstream of the
    // late `opened` keeps the flow.
    TEST_CASE("without the rule that relays opened to the home, a late opened is not followed by a close")
    {
        balancer::SafetyRules rules;
        rules.relayOpenedToHome = false;
        Fixture fixture(rules);
        const auto first = fixture.open(1);
        fixture.fromUpstream(PacketType::Refusal, first, 1);
        fixture.fromUpstream(PacketType::Opened, first, 1);
        CHECK(fixture.sentToUpstream(first, PacketType::Close) == 0);
    }

    // Guards against an open that is retried although its request may have run at the upstream that is gone.
    TEST_CASE("an unanswered open is retried only when its caller repeats it after the upstream is gone")
    {
        Fixture fixture;
        const auto first = fixture.open(1);
        fixture.advance(300ms);
        fixture.announce(first, upstream::UpstreamState::Stopped);
        fixture.advance(300ms);
        CHECK(fixture.sentToUpstream(fixture.other(first), PacketType::Open) == 0);
        fixture.fromCaller(Fixture::packetOf(PacketType::Open, 1));
        CHECK(fixture.sentToUpstream(fixture.other(first), PacketType::Open) == 1);
    }

    // Guards against callers that wait for the answer of an upstream that is gone (R4: the outcome is unknown).
    TEST_CASE("a request in flight at an upstream that is gone is refused once as outcome unknown")
    {
        Fixture fixture;
        const auto first = fixture.open(1);
        fixture.fromUpstream(PacketType::Opened, first, 1);
        fixture.fromCaller(Fixture::packetOf(PacketType::Request, 1, 7));
        fixture.advance(300ms);
        SUBCASE("stopped")
        {
            fixture.announce(first, upstream::UpstreamState::Stopped);
        }
        SUBCASE("restarted")
        {
            fixture.announce(first, upstream::UpstreamState::Ready, 2);
        }
        fixture.advance(300ms);
        fixture.advance(300ms);
        CHECK(fixture.refusals(RefusalKind::OutcomeUnknown) == 1);
        CHECK(fixture.refusals(RefusalKind::NotRun) == 0);
        CHECK(fixture.sentToUpstream(fixture.other(first), PacketType::Request) == 0);
    }

    // Guards against a refusal of a request that has already been answered.
    TEST_CASE("an answered request is not refused when its upstream stops")
    {
        Fixture fixture;
        const auto first = fixture.open(1);
        fixture.fromUpstream(PacketType::Opened, first, 1);
        fixture.fromCaller(Fixture::packetOf(PacketType::Request, 1, 7));
        fixture.advance(300ms);
        fixture.fromUpstream(PacketType::Answer, first, 1, 7);
        fixture.announce(first, upstream::UpstreamState::Stopped);
        fixture.advance(300ms);
        CHECK(fixture.output.toCallers.size() == 2);
        CHECK(fixture.refusals(RefusalKind::OutcomeUnknown) == 0);
    }

    // Guards against unbounded load on the upstreams. The concurrency limit of the kind is 2, its queue limit 1.
    TEST_CASE("opens beyond the concurrency limit are queued, and beyond the queue limit refused as not run")
    {
        Fixture fixture;
        for (std::uint32_t caller = 1; caller <= 4; ++caller)
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, caller));
        CHECK(fixture.output.toUpstreams.size() == 2);
        REQUIRE(fixture.refusals(RefusalKind::NotRun) == 1);
        CHECK(fixture.output.toCallers.back().flow.caller.address == 4);
        fixture.output.clear();

        SUBCASE("a queued open is forwarded with its remaining deadline when a flow ends")
        {
            fixture.advance(400ms);
            fixture.fromCaller(Fixture::packetOf(PacketType::Close, 1));
            REQUIRE(fixture.output.toUpstreams.size() == 2);
            CHECK(fixture.output.toUpstreams.back().second.flow.caller.address == 3);
            CHECK(fixture.output.toUpstreams.back().second.deadlineMs == 1600);
        }
        SUBCASE("copies of a queued open have no effect")
        {
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, 3));
            CHECK(fixture.output.toUpstreams.empty());
            CHECK(fixture.output.toCallers.empty());
        }
        SUBCASE("a caller that gives up removes its open from the queue")
        {
            auto type = PacketType::Close;
            SUBCASE("with a close") { }
            SUBCASE("with a cancellation")
            {
                type = PacketType::Cancel;
            }
            fixture.fromCaller(Fixture::packetOf(type, 3));
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, 3));
            fixture.fromCaller(Fixture::packetOf(PacketType::Close, 1));
            CHECK(fixture.sentToUpstream(fixture.upstreams[0], PacketType::Open) == 0);
            CHECK(fixture.sentToUpstream(fixture.upstreams[1], PacketType::Open) == 0);
        }
        SUBCASE("a queued open whose deadline passes is refused as not run")
        {
            fixture.advance(2100ms);
            CHECK(fixture.refusals(RefusalKind::NotRun) == 1);
            CHECK(fixture.output.toUpstreams.empty());
        }
    }

    // Guards against an upstream that runs a request whose caller has cancelled it.
    TEST_CASE("a cancellation is forwarded to the upstream and removes the request in flight")
    {
        Fixture fixture;
        const auto first = fixture.open(1);
        fixture.fromUpstream(PacketType::Opened, first, 1);
        fixture.fromCaller(Fixture::packetOf(PacketType::Request, 1, 7));
        CHECK(fixture.balancer.admission().requestsInFlight() == 1);
        fixture.fromCaller(Fixture::packetOf(PacketType::Cancel, 1, 7));
        CHECK(fixture.sentToUpstream(first, PacketType::Cancel) == 1);
        CHECK(fixture.balancer.admission().requestsInFlight() == 0);
    }

    // Guards against capacity that is never released because the caller doesn't close its flow.
    TEST_CASE("a flow that ends without a close from its caller releases its capacity for the next open")
    {
        Fixture fixture;
        const auto first = fixture.open(1);
        fixture.open(2);
        fixture.fromUpstream(PacketType::Opened, first, 1);
        fixture.output.clear();
        SUBCASE("the upstream closes the flow")
        {
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, 3));
            REQUIRE(fixture.output.toUpstreams.empty());
            fixture.fromUpstream(PacketType::Close, first, 1);
        }
        SUBCASE("the upstream resets the flow")
        {
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, 3));
            REQUIRE(fixture.output.toUpstreams.empty());
            fixture.fromUpstream(PacketType::Reset, first, 1);
        }
        SUBCASE("the deadline passes")
        {
            fixture.advance(2100ms);
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, 3));
        }
        REQUIRE(fixture.output.toUpstreams.size() == 1);
        CHECK(fixture.output.toUpstreams.back().second.flow.caller.address == 3);
    }

    // Guards against opens that run while the controllers can't be reached although the operator has configured
    // `on_partition: refuse` for their kind.
    TEST_CASE("in a partition the opens of kinds with on_partition refuse are refused as not run")
    {
        Fixture fixture;
        auto payment = Fixture::packetOf(PacketType::Open, 1);
        payment.kind = partitionedKind;
        fixture.fromCaller(payment);
        const auto first = fixture.output.toUpstreams.back().first;
        fixture.fromUpstream(PacketType::Opened, first, 1);
        fixture.balancer.setPartitioned(true, fixture.now);
        payment.flow.caller.address = 2;
        fixture.fromCaller(payment);
        CHECK(fixture.refusals(RefusalKind::NotRun) == 1);
        fixture.open(3);
        CHECK(fixture.refusals(RefusalKind::NotRun) == 1);
        SUBCASE("requests on open flows are still forwarded")
        {
            auto request = Fixture::packetOf(PacketType::Request, 1, 7);
            request.kind = partitionedKind;
            fixture.fromCaller(request);
            CHECK(fixture.sentToUpstream(first, PacketType::Request) == 1);
        }
        SUBCASE("opens are admitted again after the partition")
        {
            fixture.balancer.setPartitioned(false, fixture.now);
            payment.flow.caller.address = 4;
            fixture.fromCaller(payment);
            CHECK(fixture.refusals(RefusalKind::NotRun) == 1);
        }
    }

    // Guards against a flow that a late copy of its open starts again after its end, so that a late copy of its request
    // runs a second time.
    TEST_CASE("a late copy of an open does not start a flow that has ended")
    {
        balancer::SafetyRules rules;
        std::size_t opens = 1;
        SUBCASE("with the rule") { }
        SUBCASE("without the rule the flow starts again")
        {
            rules.rememberEndedFlows = false;
            opens = 2;
        }
        Fixture fixture(rules);
        const auto first = fixture.open(1);
        fixture.fromUpstream(PacketType::Opened, first, 1);
        fixture.fromCaller(Fixture::packetOf(PacketType::Close, 1));
        fixture.fromCaller(Fixture::packetOf(PacketType::Open, 1));
        CHECK(fixture.sentToUpstream(fixture.upstreams[0], PacketType::Open)
                + fixture.sentToUpstream(fixture.upstreams[1], PacketType::Open)
            == opens);
    }

    // Guards against a request that is sent to the upstream of a stale entry although its token names the flow's
    // upstream.
    TEST_CASE("a verified token takes precedence over the flow table")
    {
        balancer::SafetyRules rules;
        bool isTokenUsed = true;
        SUBCASE("with the rule") { }
        SUBCASE("without the rule the entry takes precedence")
        {
            rules.tokenReplacesEntry = false;
            isTokenUsed = false;
        }
        Fixture fixture(rules);
        const auto stale = fixture.open(1);
        auto request = Fixture::packetOf(PacketType::Request, 1, 7);
        request.token = makeTokens().issue(request.flow, fixture.other(stale));
        fixture.fromCaller(request);
        CHECK(fixture.sentToUpstream(fixture.other(stale), PacketType::Request) == (isTokenUsed ? 1 : 0));
        SUBCASE("a forged token is ignored")
        {
            Fixture otherFixture;
            const auto upstream = otherFixture.open(1);
            request.token = { otherFixture.other(upstream), 12345 };
            otherFixture.fromCaller(request);
            CHECK(otherFixture.sentToUpstream(upstream, PacketType::Request) == 1);
        }
    }

    // Guards against an answer that reaches the caller from an upstream other than the flow's (R3).
    TEST_CASE("an answer from another upstream is dropped")
    {
        balancer::SafetyRules rules;
        std::size_t answers = 0;
        SUBCASE("with the rule") { }
        SUBCASE("without the rule the answer reaches the caller")
        {
            rules.dropCrossedAnswers = false;
            answers = 1;
        }
        Fixture fixture(rules);
        const auto first = fixture.open(1);
        fixture.fromUpstream(PacketType::Opened, first, 1);
        fixture.fromUpstream(PacketType::Answer, fixture.other(first), 1, 7);
        CHECK(fixture.sentToCaller(PacketType::Answer) == answers);
    }

    // Guards against callers that spoof packets of upstreams, and so confirm flows or answer requests of other callers.
    TEST_CASE("packet types that only upstreams send are dropped when they come from a caller")
    {
        Fixture fixture;
        fixture.open(1);
        fixture.output.clear();
        for (const auto type : { PacketType::Opened, PacketType::Answer, PacketType::Refusal, PacketType::Reset }) {
            auto packet = Fixture::packetOf(type, 1);
            packet.upstream = fixture.upstreams[0];
            fixture.fromCaller(packet);
        }
        CHECK(fixture.output.toCallers.empty());
        CHECK(fixture.output.toUpstreams.empty());
        CHECK(fixture.balancer.counters().droppedMisdirected == 4);
    }

    // Guards against a flow that is placed at a second upstream after its home has changed.
    TEST_CASE("a new home queries the previous home before it places a flow")
    {
        Fixture fixture;
        const core::NodeId self { 1 };
        const core::NodeId previousHome { 2 };
        fixture.balancer.setPeers({ previousHome }, fixture.now);
        fixture.balancer.setPeers({ self }, fixture.now);
        fixture.fromCaller(Fixture::packetOf(PacketType::Open, 1));
        REQUIRE(fixture.output.toPeers.size() == 1);
        CHECK(fixture.output.toPeers.back().first == previousHome);
        CHECK(fixture.output.toUpstreams.empty());
        SUBCASE("the new home places the flow when the previous home returns the open")
        {
            auto answer = fixture.output.toPeers.back().second;
            ++answer.relayHops;
            fixture.balancer.handleRelayedPacket(answer, fixture.now, fixture.output);
            CHECK(fixture.output.toUpstreams.size() == 1);
        }
        SUBCASE("the new home places the flow when the previous home has stopped and sends no reply")
        {
            fixture.advance(200ms);
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, 1));
            CHECK(fixture.output.toUpstreams.empty());
            fixture.advance(200ms);
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, 1));
            CHECK(fixture.output.toUpstreams.size() == 1);
        }
    }

    // Guards against a caller that receives `opened` from one upstream after a previous home has moved its flow to
    // another.
    TEST_CASE("a new home queries the previous home about opened of an unknown flow")
    {
        Fixture fixture;
        const core::NodeId self { 1 };
        const core::NodeId previousHome { 2 };
        fixture.balancer.setPeers({ previousHome }, fixture.now);
        fixture.balancer.setPeers({ self }, fixture.now);
        fixture.fromUpstream(PacketType::Opened, fixture.upstreams[0], 1);
        REQUIRE(fixture.output.toPeers.size() == 1);
        CHECK(fixture.output.toPeers.back().first == previousHome);
        CHECK(fixture.output.toCallers.empty());
        const auto query = fixture.output.toPeers.back().second;

        SUBCASE("the new home forwards opened when the flow is unknown to the previous home too")
        {
            auto answer = query;
            ++answer.relayHops;
            fixture.balancer.handleRelayedPacket(answer, fixture.now, fixture.output);
            CHECK(fixture.sentToCaller(PacketType::Opened) == 1);
        }
        SUBCASE("the new home forwards opened when the previous home, which may be partitioned, sends no reply")
        {
            fixture.advance(100ms);
            CHECK(fixture.sentToCaller(PacketType::Opened) == 0);
            // A copy of the open is a separate query and doesn't extend the time limit of the first one.
            fixture.fromCaller(Fixture::packetOf(PacketType::Open, 1));
            fixture.advance(100ms);
            CHECK(fixture.sentToCaller(PacketType::Opened) == 1);
            fixture.advance(200ms);
            CHECK(fixture.sentToCaller(PacketType::Opened) == 1);
        }
        SUBCASE("the previous home has moved the flow away from an upstream that refused it")
        {
            Fixture previous;
            const auto first = previous.open(1);
            previous.fromUpstream(PacketType::Refusal, first, 1);
            REQUIRE(previous.sentToUpstream(previous.other(first), PacketType::Open) == 1);
            previous.balancer.setPeers({ previousHome }, previous.now);
            auto opened = query;
            opened.upstream = first;
            SUBCASE("the previous home closes the flow at that upstream when it sends a late opened")
            {
                previous.balancer.handleRelayedPacket(opened, previous.now, previous.output);
                CHECK(previous.sentToCaller(PacketType::Opened) == 0);
                CHECK(previous.sentToUpstream(first, PacketType::Close) == 1);
                REQUIRE(previous.output.toPeers.size() == 1);
                const auto answer = previous.output.toPeers.back().second;
                fixture.balancer.handleRelayedPacket(answer, fixture.now, fixture.output);
                fixture.advance(200ms);
                CHECK(fixture.output.toCallers.empty());
            }
            SUBCASE("the previous home returns opened to the new home when the present upstream sends it")
            {
                opened.upstream = previous.other(first);
                previous.balancer.handleRelayedPacket(opened, previous.now, previous.output);
                CHECK(previous.sentToCaller(PacketType::Opened) == 0);
                CHECK(previous.output.toPeers.size() == 1);
            }
        }
    }
}
