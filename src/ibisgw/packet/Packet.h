#pragma once

#include "ibisgw/core/FlowKey.h"
#include "ibisgw/core/Ids.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <string_view>

namespace ibisgw::packet {

enum class PacketType : std::uint8_t {
    Open, // caller -> upstream: start a flow
    Opened, // upstream -> caller: the flow is established
    Data, // either direction: stream data
    Request, // caller -> upstream: one request on an established flow
    Answer, // upstream -> caller: the complete answer to one request
    Refusal, // balancer or upstream -> caller: the request was refused
    Cancel, // caller -> upstream: the caller no longer wants the answer
    Close, // either direction: end of the flow
    Reset, // balancer or upstream -> caller: the flow is unknown to the sender and can't continue
};

// What a refusal guarantees to the caller.
enum class RefusalKind : std::uint8_t {
    None,
    NotRun, // the request has not run and will not run
    OutcomeUnknown, // the request may have run
};

std::string_view nameOf(PacketType);
std::string_view nameOf(RefusalKind);
std::optional<PacketType> packetTypeFromNumber(std::uint64_t);
std::optional<RefusalKind> refusalKindFromNumber(std::uint64_t);

// Authenticated statement of the upstream that serves a flow. Balancers issue it and callers echo it in later packets.
// See flow::FlowTokenCodec.
struct FlowToken {
    core::UpstreamId upstream;
    std::uint32_t tag { 0 };

    bool operator==(const FlowToken&) const = default;
    bool isPresent() const { return upstream.isValid(); }
};

// W3C Trace Context identifiers of a sampled packet; all zero for a packet that is not sampled.
struct TraceContext {
    std::uint64_t traceHigh { 0 };
    std::uint64_t traceLow { 0 };
    std::uint64_t parentSpan { 0 };

    bool operator==(const TraceContext&) const = default;
    bool isSampled() const { return traceHigh != 0 || traceLow != 0; }
};

// One datagram between caller and upstream. Balancers forward the payload without reading it.
struct Packet {
    PacketType type { PacketType::Data };
    core::FlowKey flow;
    core::KindId kind { 0 };
    core::RequestId request { 0 };
    // In packets from an upstream, the sender; in packets forwarded to an upstream, the target.
    core::UpstreamId upstream;
    FlowToken token;
    // Remaining time until the deadline of the request, in milliseconds; 0 means no deadline.
    std::uint32_t deadlineMs { 0 };
    RefusalKind refusal { RefusalKind::None };
    // Number of balancers that have relayed the packet.
    std::uint8_t relayHops { 0 };
    TraceContext trace;
    // Reserved for later versions; forwarded unchanged.
    std::uint8_t flags { 0 };
    // Refers to the receive buffer; valid only while the packet is handled.
    std::span<const std::byte> payload;
};

} // namespace ibisgw::packet
