#pragma once

#include "ibisgw/direct/FlowSegment.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string_view>

namespace ibisgw::runtime {

// Parses and writes the wire format of packets of callers and upstreams. Each platform provides an implementation.
class PacketFormat {
public:
    virtual ~PacketFormat();

    // Returns no segment if the datagram is not a valid packet of a caller.
    virtual std::optional<direct::FlowSegment> read(std::span<const std::byte> packet) const = 0;
    // Identifier of the request that starts in the packet, for log lines; empty if no request starts in it.
    virtual std::string_view requestId(std::span<const std::byte> packet) const = 0;
    // Writes the packet with its token replaced and addressed to the given upstream. Returns the size in bytes, or 0 if
    // `out` is too small.
    virtual std::size_t writeForwarded(std::span<const std::byte> packet, std::uint32_t token, upstream::InstanceId,
        std::span<std::byte> out) const = 0;
    // Writes a reset to the caller of the segment, which signals that its flow is not open. Returns the size in bytes,
    // or 0 if `out` is too small.
    virtual std::size_t writeReset(const direct::FlowSegment&, std::span<std::byte> out) const = 0;
};

} // namespace ibisgw::runtime
