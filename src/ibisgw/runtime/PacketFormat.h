#pragma once

#include "ibisgw/direct/FlowSegment.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace ibisgw::runtime {

// Form of the packets of callers and upstreams on the network. Adapters of a platform implement it.
class PacketFormat {
public:
    virtual ~PacketFormat();

    // Empty for a datagram that is not a packet of a caller.
    virtual std::optional<direct::FlowSegment> read(std::span<const std::byte> packet) const = 0;
    // Identifier of the request that starts in the packet, for log lines; empty when there is none.
    virtual std::string_view requestId(std::span<const std::byte> packet) const = 0;
    // Writes the packet with another token and addressed to the given upstream; returns its size, 0 if it does not fit.
    virtual std::size_t writeForwarded(std::span<const std::byte> packet, std::uint32_t token, upstream::InstanceId,
        std::span<std::byte> out) const = 0;
    // Writes the packet that tells the caller of the segment that its flow is not open; returns its size.
    virtual std::size_t writeReset(const direct::FlowSegment&, std::span<std::byte> out) const = 0;
};

} // namespace ibisgw::runtime
