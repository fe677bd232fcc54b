#include "AllocationCounter.h"
#include "Measures.h"

#include "ibisgw/balancer/Balancer.h"
#include "ibisgw/core/PcgRandomSource.h"

namespace bench {

using namespace ibisgw;
using namespace std::chrono_literals;
using packet::PacketType;

namespace {

constexpr std::size_t tableFlowCount = 300'000;
const core::Endpoint serviceAddress { 0xc0000201, 443 };

core::FlowKey makeFlowKey(std::uint32_t n)
{
    return { { 0x0b000001 + n, 50000 }, serviceAddress };
}

// Counts the packets to upstreams and callers, and discards them.
struct DiscardingOutput final : balancer::BalancerOutput {
    void sendToUpstream(core::UpstreamId, const packet::Packet&) override { ++packets; }
    void sendToCaller(const packet::Packet&) override { ++packets; }
    void sendToPeer(core::NodeId, const packet::Packet&) override { }

    std::uint64_t packets { 0 };
};

// Bytes of the flow table for each of its flows.
MeasureResult measureFlowBytes(std::uint64_t)
{
    flow::FlowTable table(400'000);
    const core::TimePoint now { 24h };
    double worstBytesPerFlow = 0;
    for (std::uint32_t n = 0; n < tableFlowCount; ++n) {
        table.insert(makeFlowKey(n), { 1 }, now);
        // The memory for each flow peaks just after the table has grown.
        if (n + 1 >= tableFlowCount / 2)
            worstBytesPerFlow = std::max(
                worstBytesPerFlow, static_cast<double>(table.memoryBytes()) / static_cast<double>(table.size()));
    }
    MeasureResult result;
    result.value = static_cast<double>(table.memoryBytes()) / static_cast<double>(tableFlowCount);
    result.bound = 64;
    result.details["worst_from_150000"] = worstBytesPerFlow;
    return result;
}

// Allocations for each packet of an open flow, in both directions.
MeasureResult measureKnownFlowAllocations(std::uint64_t seed)
{
    core::PcgRandomSource random(seed);
    configuration::RequestKind stream { 1, "live-view" };
    stream.placement = configuration::Placement::Sticky;
    configuration::Service service { "slotdesk", "peachtree", { serviceAddress } };
    service.kinds = { stream };
    balancer::Balancer balancer({ core::NodeId { 1 }, "a", 400'000 }, flow::FlowTokenCodec({}, std::nullopt), random);
    const core::TimePoint now { 24h };
    balancer.applyDocument(std::make_shared<const configuration::Document>(
                               configuration::Document { { { "peachtree" } }, { { "a", "r" } }, { service } }),
        now);
    const auto upstream = core::UpstreamId::fromEndpoint({ 0x0a010001, 80 });
    balancer.handleAnnouncement({ upstream, "slotdesk", "a", 1, 1, upstream::UpstreamState::Ready, 2 }, now);
    DiscardingOutput output;
    constexpr std::uint32_t flows = 1'000;
    packet::Packet packet;
    packet.kind = 1;
    for (std::uint32_t n = 0; n < flows; ++n) {
        packet.flow = makeFlowKey(n);
        packet.type = PacketType::Open;
        balancer.handleCallerPacket(packet, now, output);
    }
    packet.type = PacketType::Data;
    packet.upstream = upstream;
    output.packets = 0;
    const auto before = allocationCount();
    for (std::uint32_t n = 0; n < flows; ++n) {
        packet.flow = makeFlowKey(n);
        balancer.handleCallerPacket(packet, now, output);
        balancer.handleUpstreamPacket(packet, now, output);
    }
    // Read before the result is built, as building it allocates memory.
    const auto allocations = allocationCount() - before;
    MeasureResult result;
    result.value = static_cast<double>(allocations) / static_cast<double>(2 * flows);
    result.details["packets_forwarded"] = output.packets;
    return result;
}

} // namespace

void addFlowStateMeasures(MeasureList& list)
{
    list.push_back({ "flow_bytes", "bytes", true, measureFlowBytes });
    list.push_back({ "known_flow_allocations", "allocations/packet", true, measureKnownFlowAllocations });
}

} // namespace bench
