#include "ibisgw/balancer/Balancer.h"
#include "ibisgw/core/PcgRandomSource.h"

#include <algorithm>
#include <benchmark/benchmark.h>
#include <memory>
#include <unordered_map>

using namespace ibisgw;
using namespace std::chrono_literals;
using packet::Packet;
using packet::PacketType;

namespace {

const core::Endpoint serviceAddress { 0xc0000201, 443 };
const core::TimePoint startTime { 24h };
// Step from the flow number of one packet to that of the next, so that a cache cannot predict the order.
constexpr std::uint64_t flowNumberStep = 7919;

core::FlowKey makeFlowKey(std::uint64_t n)
{
    return { { static_cast<std::uint32_t>(0x0b000001 + n), 50000 }, serviceAddress };
}

core::UpstreamId makeUpstreamId(std::uint32_t n)
{
    return core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 });
}

struct DiscardingOutput final : balancer::BalancerOutput {
    void sendToUpstream(core::UpstreamId target, const Packet&) override { benchmark::DoNotOptimize(target); }
    void sendToCaller(const Packet& packet) override { benchmark::DoNotOptimize(packet.token.tag); }
    void sendToPeer(core::NodeId, const Packet&) override { }
};

// The only balancer, and therefore the home of all flows, with 14 upstreams and the given number of open streams.
struct LoadedBalancer {
    explicit LoadedBalancer(std::uint64_t flows)
        : balancer({ core::NodeId { 1 }, "a", 2'000'000 }, flow::FlowTokenCodec({}, std::nullopt), random)
    {
        configuration::RequestKind stream { 1, "live-view" };
        stream.placement = configuration::Placement::Sticky;
        configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
        service.kinds = { stream, { 2, "booking" } };
        balancer.applyDocument(std::make_shared<const configuration::Document>(
                                   configuration::Document { { { "peachtree" } }, { { "a", "r" } }, { service } }),
            startTime);
        for (std::uint32_t n = 0; n < 14; ++n)
            balancer.handleAnnouncement(
                { makeUpstreamId(n), "slotdesk", "a", 1, 1, upstream::UpstreamState::Ready, 2 }, startTime);
        packet.type = PacketType::Open;
        packet.kind = 1;
        for (std::uint64_t n = 0; n < flows; ++n) {
            packet.flow = makeFlowKey(n);
            balancer.handleCallerPacket(packet, startTime, output);
        }
    }

    core::PcgRandomSource random { 1 };
    balancer::Balancer balancer;
    DiscardingOutput output;
    Packet packet;
};

LoadedBalancer& loadedBalancer(std::uint64_t flows)
{
    static std::unordered_map<std::uint64_t, std::unique_ptr<LoadedBalancer>> balancers;
    auto& loaded = balancers[flows];
    if (!loaded)
        loaded = std::make_unique<LoadedBalancer>(flows);
    return *loaded;
}

// Baseline: lookup of a flow key in a hash map of the standard library.
void lookUpInHashMap(benchmark::State& state)
{
    const auto flows = std::max<std::uint64_t>(static_cast<std::uint64_t>(state.range(0)), 1);
    std::unordered_map<core::FlowKey, core::UpstreamId> map;
    for (std::uint64_t n = 0; n < flows; ++n)
        map.emplace(makeFlowKey(n), makeUpstreamId(n % 14));
    std::uint64_t n = 0;
    for (auto _ : state) {
        n = (n + flowNumberStep) % flows;
        benchmark::DoNotOptimize(map.find(makeFlowKey(n)));
    }
}

void callerPacketOfKnownFlow(benchmark::State& state)
{
    const auto flows = std::max<std::uint64_t>(static_cast<std::uint64_t>(state.range(0)), 1);
    auto& loaded = loadedBalancer(flows);
    loaded.packet.type = PacketType::Data;
    std::uint64_t n = 0;
    for (auto _ : state) {
        n = (n + flowNumberStep) % flows;
        loaded.packet.flow = makeFlowKey(n);
        loaded.balancer.handleCallerPacket(loaded.packet, startTime, loaded.output);
    }
}

void openAndCloseOfNewFlow(benchmark::State& state, core::KindId kind)
{
    const auto flows = std::max<std::uint64_t>(static_cast<std::uint64_t>(state.range(0)), 1);
    auto& loaded = loadedBalancer(flows);
    Packet packet;
    packet.kind = kind;
    std::uint64_t n = flows;
    for (auto _ : state) {
        packet.flow = makeFlowKey(n++);
        packet.type = PacketType::Open;
        loaded.balancer.handleCallerPacket(packet, startTime, loaded.output);
        packet.type = PacketType::Close;
        loaded.balancer.handleCallerPacket(packet, startTime, loaded.output);
    }
}

void newStream(benchmark::State& state)
{
    openAndCloseOfNewFlow(state, 1);
}

void newRequestFlow(benchmark::State& state)
{
    openAndCloseOfNewFlow(state, 2);
}

void issueToken(benchmark::State& state)
{
    const flow::FlowTokenCodec tokens({}, std::nullopt);
    std::uint64_t n = 0;
    for (auto _ : state)
        benchmark::DoNotOptimize(tokens.issue(makeFlowKey(n++), makeUpstreamId(1)));
}

void forFlowCounts(benchmark::internal::Benchmark* benchmark)
{
    for (const std::int64_t it : { 10'000, 100'000, 300'000, 1'000'000 })
        benchmark->Arg(it);
}

} // namespace

BENCHMARK(lookUpInHashMap)->Apply(forFlowCounts);
BENCHMARK(callerPacketOfKnownFlow)->Apply(forFlowCounts);
BENCHMARK(newStream)->Apply(forFlowCounts);
BENCHMARK(newRequestFlow)->Apply(forFlowCounts);
BENCHMARK(issueToken);
