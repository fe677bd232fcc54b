#include "ibisgw/balancer/Balancer.h"

#include "ibisgw/core/PcgRandomSource.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;
using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

const core::TimePoint start { 24h };
const core::Endpoint slotdesk { 0xc0000201, 443 };
const core::Endpoint archive { 0xc0000202, 443 };
const core::NodeId self { 1 };
const core::NodeId peer { 2 };

core::UpstreamId upstreamNumber(std::uint32_t n)
{
    return core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 });
}

core::FlowKey flowNumber(std::uint32_t n, const core::Endpoint& service = slotdesk)
{
    return { { 0x0b000001 + n, 50000 }, service };
}

std::shared_ptr<const configuration::Document> makeDocument()
{
    configuration::RequestKind stream { 1, "live-view" };
    stream.placement = configuration::Placement::Sticky;
    configuration::Service first { "slotdesk", "peachtree", { slotdesk } };
    first.kinds = { stream, { 2, "booking" } };
    configuration::Service second { "regatta-archive", "peachtree", { archive } };
    second.kinds = { { 3, "upload" } };
    return std::make_shared<const configuration::Document>(
        configuration::Document { { { "peachtree" } }, { { "a", "r" } }, { first, second } });
}

struct RecordingOutput final : balancer::BalancerOutput {
    void sendToUpstream(core::UpstreamId target, const Packet& packet) override
    {
        toUpstreams.push_back(packet);
        toUpstreams.back().upstream = target;
    }
    void sendToCaller(const Packet& packet) override { toCallers.push_back(packet); }
    void sendToPeer(core::NodeId, const Packet& packet) override { toPeers.push_back(packet); }
    void clear()
    {
        toUpstreams.clear();
        toCallers.clear();
        toPeers.clear();
    }

    std::vector<Packet> toUpstreams;
    std::vector<Packet> toCallers;
    std::vector<Packet> toPeers;
};

struct Fixture {
    Fixture()
        : balancer(makeOptions(), tokens, random)
    {
        balancer.applyDocument(makeDocument(), start);
        for (std::uint32_t n = 0; n < 4; ++n)
            balancer.handleAnnouncement(
                { upstreamNumber(n), "slotdesk", "a", 1, 1, upstream::UpstreamState::Ready, 2 }, start);
        balancer.handleAnnouncement(
            { upstreamNumber(9), "regatta-archive", "a", 1, 1, upstream::UpstreamState::Ready, 2 }, start);
        balancer.tick(start, output);
    }

    static balancer::BalancerOptions makeOptions()
    {
        balancer::BalancerOptions options { self, "a", 1'000 };
        options.relaysPerSecond = 10;
        return options;
    }

    void receive(PacketType type, const core::FlowKey& flow, core::KindId kind, core::UpstreamId token = {})
    {
        Packet packet;
        packet.type = type;
        packet.flow = flow;
        packet.kind = kind;
        packet.request = type == PacketType::Request ? 1 : 0;
        if (token.isValid())
            packet.token = tokens.issue(flow, token);
        packet.relayHops = hops;
        output.clear();
        // Only packets relayed by other balancers carry a hop count. The balancer resets it in packets of callers.
        if (hops > 0)
            balancer.handleRelayedPacket(packet, now, output);
        else
            balancer.handleCallerPacket(packet, now, output);
    }

    void answer(PacketType type, const core::FlowKey& flow, core::KindId kind, core::UpstreamId from)
    {
        Packet packet;
        packet.type = type;
        packet.flow = flow;
        packet.kind = kind;
        packet.upstream = from;
        output.clear();
        balancer.handleUpstreamPacket(packet, now, output);
    }

    core::PcgRandomSource random { 1 };
    flow::FlowTokenCodec tokens { {}, std::nullopt };
    balancer::Balancer balancer;
    RecordingOutput output;
    core::TimePoint now { start };
    std::uint8_t hops { 0 };
};

} // namespace

TEST_SUITE("balancer")
{
    // Guards against packets that reach an upstream of another service (R2).
    TEST_CASE_FIXTURE(Fixture, "a token or record of another service's upstream never routes a packet")
    {
        receive(PacketType::Data, flowNumber(1), 1, upstreamNumber(9));
        CHECK(balancer.counters().droppedInvalidToken == 1);
        CHECK(
            std::ranges::none_of(output.toUpstreams, [](const auto& it) { return it.upstream == upstreamNumber(9); }));
        balancer.applyFlowRecord({ flowNumber(2).hash(), upstreamNumber(9), peer, 1 }, now);
        receive(PacketType::Data, flowNumber(2), 1);
        CHECK(balancer.counters().droppedInvalidRecord == 1);
        CHECK(
            std::ranges::none_of(output.toUpstreams, [](const auto& it) { return it.upstream == upstreamNumber(9); }));
        balancer.adoptFlow({ self, flowNumber(3), upstreamNumber(9), true }, now);
        CHECK(balancer.flowCount() == 2);
    }

    // Guards against a request that runs at a second upstream because its flow was derived by default placement (R5).
    TEST_CASE_FIXTURE(Fixture, "only stream data of an unknown flow is sent to the default upstream")
    {
        SUBCASE("stream data goes to the default upstream")
        {
            receive(PacketType::Data, flowNumber(1), 1);
            REQUIRE(output.toUpstreams.size() == 1);
            CHECK(balancer.counters().resolvedByDefault == 1);
        }
        SUBCASE("a request that is not idempotent is refused, even on a stream")
        {
            for (const core::KindId kind : { core::KindId { 1 }, core::KindId { 2 } }) {
                receive(PacketType::Request, flowNumber(1), kind);
                CHECK(output.toUpstreams.empty());
                REQUIRE(output.toCallers.size() == 1);
                CHECK(output.toCallers.front().refusal == RefusalKind::OutcomeUnknown);
            }
        }
        SUBCASE("data of a flow that carries requests is reset")
        {
            receive(PacketType::Data, flowNumber(1), 2);
            REQUIRE(output.toCallers.size() == 1);
            CHECK(output.toCallers.front().type == PacketType::Reset);
        }
    }

    // Guards against a request that is sent to the wrong upstream, because a second copy of the open was placed at
    // another upstream than the one whose `opened` the caller accepted.
    TEST_CASE_FIXTURE(Fixture, "a token takes precedence over a different entry of the flow table")
    {
        receive(PacketType::Open, flowNumber(1), 2);
        const auto placed = output.toUpstreams.front().upstream;
        const auto accepted = placed == upstreamNumber(0) ? upstreamNumber(1) : upstreamNumber(0);
        receive(PacketType::Request, flowNumber(1), 2, accepted);
        REQUIRE(output.toUpstreams.size() == 1);
        CHECK(output.toUpstreams.front().upstream == accepted);
        receive(PacketType::Request, flowNumber(1), 2);
        CHECK(output.toUpstreams.front().upstream == accepted);
    }

    // Guards against packets that reach a caller from an upstream that doesn't serve its flow (R3).
    TEST_CASE_FIXTURE(Fixture, "answers from an upstream other than the flow's are dropped")
    {
        receive(PacketType::Open, flowNumber(1), 2);
        const auto placed = output.toUpstreams.front().upstream;
        const auto wrong = placed == upstreamNumber(0) ? upstreamNumber(1) : upstreamNumber(0);
        answer(PacketType::Answer, flowNumber(1), 2, wrong);
        CHECK(output.toCallers.empty());
        CHECK(balancer.counters().droppedCrossedAnswers == 1);
        answer(PacketType::Reset, flowNumber(1), 2, upstreamNumber(9));
        CHECK(output.toCallers.empty());
        CHECK(balancer.counters().droppedMisdirected == 1);
        answer(PacketType::Answer, flowNumber(1), 2, placed);
        CHECK(output.toCallers.size() == 1);
    }

    // Guards against relay loops between balancers with different views of the group, and against a balancer without
    // entries that overloads its peers with relayed packets.
    TEST_CASE_FIXTURE(Fixture, "relays have a hop limit and a rate limit")
    {
        balancer.setPeers({ { self, "a", true }, { peer, "a" } }, now);
        // Past the period in which previous homes are queried about opens.
        now += 10s;
        receive(PacketType::Open, flowNumber(1), 1);
        REQUIRE(output.toPeers.size() == 1);
        CHECK(output.toPeers.front().relayHops == 1);
        hops = 2;
        receive(PacketType::Open, flowNumber(1), 1);
        CHECK(output.toPeers.empty());
        CHECK(output.toUpstreams.size() == 1);
        hops = 0;
        std::size_t relayed = 0;
        for (std::uint32_t n = 100; n < 200; ++n) {
            receive(PacketType::Data, flowNumber(n), 1);
            relayed += output.toPeers.size();
        }
        CHECK(relayed == 9);
        CHECK(balancer.counters().droppedRelays == 91);
    }

    // Guards against callers that wait for an upstream whose announcements have stopped.
    TEST_CASE_FIXTURE(Fixture, "flows of an expired upstream are reset and its requests refused as outcome unknown")
    {
        receive(PacketType::Open, flowNumber(1), 2);
        const auto placed = output.toUpstreams.front().upstream;
        for (int second = 1; second <= 12; ++second) {
            now = start + 1s * second;
            for (std::uint32_t n = 0; n < 4; ++n) {
                if (upstreamNumber(n) != placed)
                    balancer.handleAnnouncement(
                        { upstreamNumber(n), "slotdesk", "a", 1, static_cast<std::uint64_t>(second + 1),
                            upstream::UpstreamState::Ready, 2 },
                        now);
            }
            balancer.tick(now, output);
        }
        receive(PacketType::Data, flowNumber(1), 2);
        REQUIRE(output.toCallers.size() == 1);
        CHECK(output.toCallers.front().type == PacketType::Reset);
        receive(PacketType::Request, flowNumber(1), 2);
        CHECK(output.toCallers.front().refusal == RefusalKind::OutcomeUnknown);
        // A repeated open is placed at another upstream.
        receive(PacketType::Open, flowNumber(1), 2);
        REQUIRE(output.toUpstreams.size() == 1);
        CHECK(output.toUpstreams.front().upstream != placed);
    }

    // Guards against flows that break when their home leaves the group.
    TEST_CASE_FIXTURE(Fixture, "a leaving balancer hands over the flows that its peers cannot derive")
    {
        // Fewer than the initial concurrency limit of a service, so that none is queued.
        constexpr std::uint32_t requestFlows = 60;
        for (std::uint32_t n = 0; n < requestFlows; ++n)
            receive(PacketType::Open, flowNumber(n), 2);
        for (std::uint32_t n = 100; n < 120; ++n)
            receive(PacketType::Open, flowNumber(n), 1);
        balancer.setPeers({ { self, "a", true }, { peer, "a" } }, now);
        balancer.handOver(now);
        CHECK(balancer.pendingHandOvers() >= requestFlows);
        CHECK(balancer.pendingHandOvers() < requestFlows + 20);
        const auto flows = balancer.takeHandOvers(1'000);
        CHECK(balancer.pendingHandOvers() == 0);
        CHECK(std::ranges::all_of(flows, [](const auto& it) { return it.target == peer; }));
        Fixture next;
        for (const auto& it : flows)
            next.balancer.adoptFlow(it, now);
        next.receive(PacketType::Request, flowNumber(1), 2);
        REQUIRE(next.output.toUpstreams.size() == 1);
        receive(PacketType::Request, flowNumber(1), 2);
        CHECK(next.output.toUpstreams.front().upstream == output.toUpstreams.front().upstream);
    }

    // Guards against a new home that sends a flow to its default upstream before the hand-over of the flow has arrived.
    TEST_CASE_FIXTURE(Fixture, "a new home queries the previous home about an unknown flow while that is running")
    {
        balancer.setPeers({ { peer, "a" } }, now);
        balancer.setPeers({ { self, "a" }, { peer, "a", true } }, now + 1s);
        now += 2s;
        receive(PacketType::Data, flowNumber(1), 1);
        CHECK(output.toUpstreams.empty());
        REQUIRE(output.toPeers.size() == 1);
        // The previous home has crashed in the meantime.
        balancer.setPeers({ { self, "a" } }, now);
        receive(PacketType::Data, flowNumber(1), 1);
        CHECK(output.toUpstreams.size() == 1);
    }

    // Guards against a drain that breaks open flows, places new ones, or doesn't end at the drain limit.
    TEST_CASE_FIXTURE(Fixture, "a draining upstream keeps its flows until the drain limit and gets no new ones")
    {
        receive(PacketType::Open, flowNumber(1), 1);
        const auto placed = output.toUpstreams.front().upstream;
        balancer.handleAnnouncement({ placed, "slotdesk", "a", 1, 2, upstream::UpstreamState::Draining, 2 }, now);
        receive(PacketType::Data, flowNumber(1), 1);
        CHECK(output.toUpstreams.front().upstream == placed);
        for (std::uint32_t n = 100; n < 200; ++n) {
            receive(PacketType::Open, flowNumber(n), n % 2 ? core::KindId { 1 } : core::KindId { 2 });
            REQUIRE(output.toUpstreams.size() == 1);
            CHECK(output.toUpstreams.front().upstream != placed);
        }
        // Up to the drain limit of the service the flow stays open; past the limit it is reset even with a token.
        now = start + 1h;
        balancer.handleAnnouncement({ placed, "slotdesk", "a", 1, 3, upstream::UpstreamState::Draining, 2 }, now);
        receive(PacketType::Data, flowNumber(1), 1, placed);
        CHECK(output.toUpstreams.size() == 1);
        now = start + 1h + 1s;
        receive(PacketType::Data, flowNumber(1), 1, placed);
        CHECK(output.toUpstreams.empty());
        REQUIRE(output.toCallers.size() == 1);
        CHECK(output.toCallers.front().type == PacketType::Reset);
    }
}
