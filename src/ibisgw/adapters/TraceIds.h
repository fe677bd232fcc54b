#pragma once

#include <cstdint>
#include <string>

namespace ibisgw::adapters {

// Identifiers in the form of W3C Trace Context. The trace of a flow follows from the hash of its key:
// every daemon computes the same identifier and the same sampling decision without any message.
std::string traceIdOfFlow(std::uint64_t flowHash);
std::string spanIdOf(std::uint64_t number);

// Rate between 0 (never) and 1 (always).
bool isSampled(std::uint64_t flowHash, double rate);

} // namespace ibisgw::adapters
