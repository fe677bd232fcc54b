#include "ibisgw/adapters/TraceIds.h"

#include "ibisgw/core/FlowKey.h"

#include <cmath>

namespace ibisgw::adapters {

namespace {

// Arbitrary distinct salts that derive independent hashes from the flow hash.
constexpr std::uint64_t traceIdHighSalt = 1;
constexpr std::uint64_t traceIdLowSalt = 2;
constexpr std::uint64_t samplingSalt = 3;

} // namespace

std::string formatSpanId(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t n = 16; n-- > 0; number >>= 4)
        text[n] = digits[number & 15];
    return text;
}

std::string traceIdOfFlow(std::uint64_t flowHash)
{
    // W3C Trace Context reserves the identifier that consists of zeros only, so the lowest bit is always set.
    return formatSpanId(core::rendezvousWeight(flowHash, traceIdHighSalt))
        + formatSpanId(core::rendezvousWeight(flowHash, traceIdLowSalt) | 1);
}

bool isSampled(std::uint64_t flowHash, double rate)
{
    return std::ldexp(static_cast<double>(core::rendezvousWeight(flowHash, samplingSalt)), -64) < rate;
}

} // namespace ibisgw::adapters
