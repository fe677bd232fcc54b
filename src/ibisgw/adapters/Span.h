#pragma once

#include "ibisgw/core/Ids.h"

#include <cstdint>
#include <string>

namespace ibisgw::adapters {

// One hop of a traced flow. Identifiers are lower-case hexadecimal as in W3C Trace Context:
// 32 digits for the trace, 16 for a span.
struct Span {
    std::string traceId;
    std::string spanId;
    // Empty for the first hop.
    std::string parentId;
    // Name of the daemon or program, and what it did.
    std::string hop;
    core::ServiceName service;
    // Microseconds since the Unix epoch, because spans of several VMs are compared.
    std::uint64_t startUs { 0 };
    std::uint64_t durationUs { 0 };

    bool operator==(const Span&) const = default;
};

} // namespace ibisgw::adapters
