#include "ibisgw/adapters/TraceIds.h"

#include "ibisgw/core/FlowKey.h"

#include <cmath>

namespace ibisgw::adapters {

namespace {

// Arbitrary constants that make independent hashes of the flow hash.
constexpr std::uint64_t highHalf = 1;
constexpr std::uint64_t lowHalf = 2;
constexpr std::uint64_t samplingChoice = 3;

} // namespace

std::string spanIdOf(std::uint64_t number)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t n = 16; n-- > 0; number >>= 4)
        text[n] = digits[number & 15];
    return text;
}

std::string traceIdOfFlow(std::uint64_t flowHash)
{
    // W3C Trace Context reserves the identifier of zeros; the lowest bit avoids it.
    return spanIdOf(core::rendezvousWeight(flowHash, highHalf))
        + spanIdOf(core::rendezvousWeight(flowHash, lowHalf) | 1);
}

bool isSampled(std::uint64_t flowHash, double rate)
{
    return std::ldexp(static_cast<double>(core::rendezvousWeight(flowHash, samplingChoice)), -64) < rate;
}

} // namespace ibisgw::adapters
