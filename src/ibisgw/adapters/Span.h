#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <string>

namespace ibisgw::adapters {

// Span of a distributed trace: one hop of a traced flow. Identifiers are lower-case hexadecimal numbers as in W3C Trace
// Context, of 32 digits for a trace and 16 for a span.
struct Span {
    std::string traceId;
    std::string spanId;
    // Span of the previous hop; empty for the first hop.
    std::string parentId;
    // Name of the daemon or program and the operation that it performed.
    std::string hop;
    core::ServiceName service;
    // Wall-clock time in microseconds since the Unix epoch, because spans of several VMs are compared.
    std::uint64_t startUs { 0 };
    std::uint64_t durationUs { 0 };

    bool operator==(const Span&) const = default;
};

} // namespace ibisgw::adapters
