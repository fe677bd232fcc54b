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
const core::TimePoint start { 24h };
// Times between which the benchmark sees packets of flows in an order that no cache predicts.
constexpr std::uint64_t orderStep = 7919;

core::FlowKey flowNumber(std::uint64_t n)
{
    return { { static_cast<std::uint32_t>(0x0b000001 + n), 50000 }, serviceAddress };
}

core::UpstreamId upstreamNumber(std::uint32_t n)
{
    return core::UpstreamId::fromEndpoint({ 0x0a010001 + n, 80 });
}

struct DiscardingOutput final : balancer::BalancerOutput {
    void sendToUpstream(core::UpstreamId target, const Packet&) override { benchmark::DoNotOptimize(target); }
    void sendToCaller(const Packet& packet) override { benchmark::DoNotOptimize(packet.token.tag); }
    void sendToPeer(core::NodeId, const Packet&) override { }
};

// One balancer, which is the home of all flows, with 14 upstreams and the given number of open streams.
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
            start);
        for (std::uint32_t n = 0; n < 14; ++n)
            balancer.handleAnnouncement(
                { upstreamNumber(n), "slotdesk", "a", 1, 1, upstream::UpstreamState::Ready, 2 }, start);
        packet.type = PacketType::Open;
        packet.kind = 1;
        for (std::uint64_t n = 0; n < flows; ++n) {
            packet.flow = flowNumber(n);
            balancer.handleCallerPacket(packet, start, output);
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

// The comparison: the flow key in a hash map of the standard library.
void lookUpInHashMap(benchmark::State& state)
{
    const auto flows = std::max<std::uint64_t>(static_cast<std::uint64_t>(state.range(0)), 1);
    std::unordered_map<core::FlowKey, core::UpstreamId> map;
    for (std::uint64_t n = 0; n < flows; ++n)
        map.emplace(flowNumber(n), upstreamNumber(n % 14));
    std::uint64_t n = 0;
    for (auto _ : state) {
        n = (n + orderStep) % flows;
        benchmark::DoNotOptimize(map.find(flowNumber(n)));
    }
}

void callerPacketOfKnownFlow(benchmark::State& state)
{
    const auto flows = std::max<std::uint64_t>(static_cast<std::uint64_t>(state.range(0)), 1);
    auto& loaded = loadedBalancer(flows);
    loaded.packet.type = PacketType::Data;
    std::uint64_t n = 0;
    for (auto _ : state) {
        n = (n + orderStep) % flows;
        loaded.packet.flow = flowNumber(n);
        loaded.balancer.handleCallerPacket(loaded.packet, start, loaded.output);
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
        packet.flow = flowNumber(n++);
        packet.type = PacketType::Open;
        loaded.balancer.handleCallerPacket(packet, start, loaded.output);
        packet.type = PacketType::Close;
        loaded.balancer.handleCallerPacket(packet, start, loaded.output);
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
        benchmark::DoNotOptimize(tokens.issue(flowNumber(n++), upstreamNumber(1)));
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
