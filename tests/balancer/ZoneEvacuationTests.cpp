#include "ibisgw/core/PcgRandomSource.h"
#include "support/FakeCallers.h"
#include "support/RecordingOutput.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace ibisgw;
using namespace std::chrono_literals;
using packet::Packet;
using packet::PacketType;
using packet::RefusalKind;

namespace {

const core::Endpoint serviceAddress { 0xc0000201, 443 };
constexpr core::KindId streamKind = 1;
constexpr core::KindId requestKind = 2;

std::shared_ptr<const configuration::Document> makeDocument(std::vector<core::ZoneName> evacuatedZones = {})
{
    configuration::RequestKind stream { streamKind, "live-view" };
    stream.placement = configuration::Placement::Sticky;
    configuration::RequestKind request { requestKind, "booking" };
    request.concurrencyLimit = 4;
    configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
    service.kinds = { stream, request };
    return std::make_shared<const configuration::Document>(configuration::Document {
        { { "peachtree" } }, { { "a", "r" }, { "b", "r" } }, { service }, std::move(evacuatedZones) });
}

// Nine balancers and 14 upstreams, which alternate between zones a and b.
struct Group {
    Group()
        : balancers(makeOptions(), makeDocument(), queue, random)
    {
        for (std::uint32_t n = 0; n < 14; ++n) {
            support::FakeUpstreamOptions upstream { core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 }), "slotdesk",
                serviceAddress };
            upstream.zone = n % 2 ? "b" : "a";
            balancers.addUpstream(upstream);
        }
        queue.runFor(2s);
    }

    static support::BalancerGroupOptions makeOptions()
    {
        support::BalancerGroupOptions options;
        options.zones = { "a", "b" };
        return options;
    }

    void openStreams(int count, core::Duration period, bool echoesToken)
    {
        for (int n = 0; n < count; ++n) {
            callers.openStream(period, echoesToken);
            // One request for each four streams is 50 requests a second, which half of the slots can run.
            if (n % 4 == 0)
                callers.startRequest();
            queue.runFor(5ms);
        }
    }

    // Brings an order into force, and returns when it is in force at all balancers.
    core::TimePoint order(std::vector<core::ZoneName> evacuatedZones)
    {
        balancers.applyDocument(makeDocument(std::move(evacuatedZones)), maxDelay);
        return queue.now() + maxDelay;
    }

    std::uint64_t streamsIn(const core::ZoneName& zone)
    {
        std::uint64_t count = 0;
        for (const auto& it : balancers.upstreams()) {
            if (it->options().zone == zone)
                count += callers.establishedStreamsOn(it->options().id).size();
        }
        return count;
    }

    core::TimePoint lastOpenIn(const core::ZoneName& zone)
    {
        core::TimePoint last;
        for (const auto& it : balancers.upstreams()) {
            if (it->options().zone == zone)
                last = std::max(last, it->lastOpenAt().value_or(core::TimePoint {}));
        }
        return last;
    }

    std::uint64_t countOf(std::uint64_t balancer::BalancerCounters::*counter)
    {
        std::uint64_t count = 0;
        for (unsigned n = 0; n < balancers.balancerCount(); ++n)
            count += balancers.balancer(n) ? balancers.balancer(n)->counters().*counter : 0;
        return count;
    }

    // Time until a revision has reached all balancers.
    static constexpr core::Duration maxDelay = 2s;
    // Retransmission interval of the callers and the longest way of a packet.
    static constexpr core::Duration maxPacketDelay = 1s;

    core::PcgRandomSource random { 1 };
    support::MessageQueue queue { {}, random };
    support::BalancerGroup balancers;
    support::FakeCallers callers { { serviceAddress }, balancers };
};

// One balancer that is the home of all flows, with one upstream in each of two zones.
struct Fixture {
    Fixture()
        : balancer({ .self = { 1 }, .zone = "a" }, tokens, random)
    {
        balancer.applyDocument(makeDocument(), now);
        for (const auto& [id, zone] : upstreams)
            balancer.handleAnnouncement({ id, "slotdesk", zone, 1, 1, upstream::UpstreamState::Ready, 2 }, now);
        balancer.tick(now, output);
    }

    void order(std::vector<core::ZoneName> evacuatedZones)
    {
        balancer.applyDocument(makeDocument(std::move(evacuatedZones)), now);
        balancer.tick(now, output);
    }

    // Sends a packet and returns the upstream that receives it; invalid when none does.
    core::UpstreamId send(PacketType type, std::uint32_t caller, core::KindId kind, core::UpstreamId token = {})
    {
        Packet packet;
        packet.type = type;
        packet.flow = flowOf(caller);
        packet.kind = kind;
        packet.deadlineMs = 2000;
        if (token.isValid())
            packet.token = tokens.issue(packet.flow, token);
        output.toUpstreams.clear();
        output.toCallers.clear();
        balancer.handleCallerPacket(packet, now, output);
        return output.toUpstreams.empty() ? core::UpstreamId {} : output.toUpstreams.back().first;
    }

    // Opens flows until one is placed in the zone, and returns its caller.
    std::uint32_t openIn(const core::ZoneName& zone, core::KindId kind)
    {
        for (std::uint32_t caller = 1;; ++caller) {
            if (send(PacketType::Open, caller, kind) == upstreams.at(zone == "a" ? 0 : 1).first)
                return caller;
        }
    }

    void establish(std::uint32_t caller, core::KindId kind, core::UpstreamId upstream)
    {
        Packet packet;
        packet.type = PacketType::Opened;
        packet.flow = flowOf(caller);
        packet.kind = kind;
        packet.upstream = upstream;
        balancer.handleUpstreamPacket(packet, now, output);
    }

    static core::FlowKey flowOf(std::uint32_t caller) { return { { caller, 50000 }, serviceAddress }; }

    std::size_t refusals() const
    {
        return static_cast<std::size_t>(std::ranges::count_if(output.toCallers,
            [](const auto& it) { return it.type == PacketType::Refusal && it.refusal == RefusalKind::NotRun; }));
    }

    const core::UpstreamId inA { 0x0a0100010050 };
    const core::UpstreamId inB { 0x0a0100020050 };
    const std::vector<std::pair<core::UpstreamId, core::ZoneName>> upstreams { { inA, "a" }, { inB, "b" } };
    core::PcgRandomSource random { 1 };
    flow::FlowTokenCodec tokens { {}, std::nullopt };
    support::RecordingOutput output;
    core::TimePoint now { 24h };
    balancer::Balancer balancer;
};

} // namespace

TEST_SUITE("balancer")
{
    // Guards against open flows that break or move when a zone is evacuated or restored (R1), and against new flows in
    // an evacuated zone.
    TEST_CASE("an evacuation keeps the open flows of the zone and gives it no new ones")
    {
        Group group;
        group.openStreams(300, 2s, false);
        group.openStreams(100, 2s, true);
        group.queue.runFor(1s);
        const auto streamsBefore = group.callers.streamsByUpstream();
        const auto inA = group.streamsIn("a");
        REQUIRE(inA > 100);

        auto inForceAt = group.order({ "a" });
        group.openStreams(300, 2s, true);
        group.queue.runFor(10s);
        group.openStreams(200, 2s, true);
        group.queue.runFor(2s);
        CHECK(group.lastOpenIn("a") < inForceAt + Group::maxPacketDelay);
        CHECK(group.callers.totals().brokenStreams == 0);
        CHECK(group.callers.totals().notRun == 0);

        SUBCASE("no open flow is at another upstream after the restore, and the zone gets new flows again")
        {
            inForceAt = group.order({});
            group.queue.runFor(Group::maxDelay);
            group.openStreams(200, 2s, true);
            group.queue.runFor(5s);
            CHECK(group.lastOpenIn("a") > inForceAt);
            CHECK(group.callers.totals().brokenStreams == 0);
            CHECK(group.callers.establishedStreams() == 1100);
            const auto streams = group.callers.streamsByUpstream();
            for (const auto& [upstream, count] : streamsBefore)
                CHECK(streams.at(upstream) >= count);
        }
        SUBCASE("evacuations and restores in quick succession break nothing")
        {
            for (int n = 0; n < 10; ++n) {
                group.order(n % 3 == 0 ? std::vector<core::ZoneName> { "b" } : std::vector<core::ZoneName> {});
                group.openStreams(20, 2s, true);
            }
            group.queue.runFor(10s);
            CHECK(group.callers.totals().brokenStreams == 0);
            CHECK(group.callers.totals().notRun == 0);
        }
    }

    // Guards against an evacuation that changes the default upstream or the home of flows that only these identify.
    TEST_CASE("flows in an evacuated zone survive the crash of their homes")
    {
        Group group;
        group.openStreams(400, 40s, false);
        group.openStreams(100, 20s, true);
        group.queue.runFor(3s);
        group.order({ "a" });
        group.queue.runFor(5s);
        group.balancers.killBalancer(0);
        group.queue.runFor(10s);
        group.balancers.killBalancer(1);
        group.balancers.killBalancer(2);
        group.queue.runFor(80s);
        CHECK(group.callers.totals().brokenStreams == 0);
        CHECK(group.callers.establishedStreams() == 500);
        CHECK(group.countOf(&balancer::BalancerCounters::resolvedByDefault) > 0);
        CHECK(group.countOf(&balancer::BalancerCounters::resolvedByRecord) > 0);
        CHECK(group.countOf(&balancer::BalancerCounters::resolvedByToken) > 0);
    }

    // Guards against an evacuation that is taken for the loss of the upstreams.
    TEST_CASE("packets of flows that the balancer has not placed are forwarded into an evacuated zone")
    {
        Fixture fixture;
        fixture.order({ "a" });
        SUBCASE("by their token")
        {
            CHECK(fixture.send(PacketType::Request, 500, requestKind, fixture.inA) == fixture.inA);
        }
        SUBCASE("by their record")
        {
            fixture.balancer.applyFlowRecord({ Fixture::flowOf(501).hash(), fixture.inA, { 2 }, 1 }, fixture.now);
            CHECK(fixture.send(PacketType::Request, 501, requestKind) == fixture.inA);
        }
        SUBCASE("by their default upstream, which is the same as before")
        {
            Fixture unchanged;
            for (std::uint32_t caller = 600; caller < 650; ++caller)
                CHECK(fixture.send(PacketType::Data, caller, streamKind)
                    == unchanged.send(PacketType::Data, caller, streamKind));
        }
    }

    // Guards against callers that wait for a service without an upstream, and against `outcome_unknown` for opens that
    // no upstream has received.
    TEST_CASE("a service whose zones are all evacuated refuses opens at once as not run")
    {
        Fixture fixture;
        fixture.establish(fixture.openIn("a", streamKind), streamKind, fixture.inA);
        const auto openFlow = fixture.openIn("a", streamKind);
        // Fills the limit of the kind, so that a further open waits.
        for (std::uint32_t caller = 700; caller < 704; ++caller)
            REQUIRE(fixture.send(PacketType::Open, caller, requestKind).isValid());
        REQUIRE_FALSE(fixture.send(PacketType::Open, 704, requestKind).isValid());
        REQUIRE(fixture.refusals() == 0);
        fixture.now += 1s;
        fixture.order({ "b", "a" });
        // The waiting open.
        CHECK(fixture.refusals() == 1);
        for (const auto kind : { streamKind, requestKind }) {
            CHECK_FALSE(fixture.send(PacketType::Open, 800 + kind, kind).isValid());
            CHECK(fixture.refusals() == 1);
        }
        CHECK(fixture.send(PacketType::Data, openFlow, streamKind) == fixture.inA);

        SUBCASE("until one of the zones is restored")
        {
            fixture.order({ "a" });
            CHECK(fixture.send(PacketType::Open, 900, streamKind) == fixture.inB);
        }
    }

    // Guards against new flows that reach an evacuated zone through state of earlier flows.
    TEST_CASE("an open does not follow an earlier attempt into an evacuated zone")
    {
        Fixture fixture;
        const auto caller = fixture.openIn("a", requestKind);
        SUBCASE("a caller that repeats its open before the upstream has confirmed it gets another upstream")
        {
            fixture.order({ "a" });
            CHECK(fixture.send(PacketType::Open, caller, requestKind) == fixture.inB);
        }
        SUBCASE("a confirmed flow stays, even if a late copy of its open arrives")
        {
            fixture.establish(caller, requestKind, fixture.inA);
            fixture.order({ "a" });
            CHECK(fixture.send(PacketType::Open, caller, requestKind) == fixture.inA);
            CHECK(fixture.send(PacketType::Request, caller, requestKind) == fixture.inA);
        }
        SUBCASE("a caller that reuses the port of an earlier flow gets another upstream")
        {
            fixture.establish(caller, requestKind, fixture.inA);
            fixture.order({ "a" });
            // Without a packet for longer than any copy of an open needs, and after the record of the open has expired.
            for (unsigned n = 0; n < 6; ++n) {
                fixture.now += 1s;
                fixture.balancer.handleAnnouncement(
                    { fixture.inA, "slotdesk", "a", 1, 2u + n, upstream::UpstreamState::Ready, 2 }, fixture.now);
                fixture.balancer.handleAnnouncement(
                    { fixture.inB, "slotdesk", "b", 1, 2u + n, upstream::UpstreamState::Ready, 2 }, fixture.now);
                fixture.balancer.tick(fixture.now, fixture.output);
            }
            CHECK(fixture.send(PacketType::Open, caller, requestKind) == fixture.inB);
        }
    }
}
