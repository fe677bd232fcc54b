#pragma once

#include <cstdint>
#include <string>

namespace ibisgw::adapters {

// Trace and span identifiers in the format of W3C Trace Context. The trace identifier and the sampling decision are
// computed from the hash of the flow key, so that every daemon gets the same results without any message.
std::string traceIdOfFlow(std::uint64_t flowHash);
// Formats the number as 16 hexadecimal digits.
std::string formatSpanId(std::uint64_t number);

// Whether the flow is traced at a sampling rate between 0 (never) and 1 (always).
bool isSampled(std::uint64_t flowHash, double rate);

} // namespace ibisgw::adapters
