#include "ibisgw/core/FlowKey.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ibisgw::core {

std::uint64_t FlowKey::hash() const
{
    const std::uint64_t words[2] {
        (std::uint64_t { caller.address } << 16) | caller.port,
        (std::uint64_t { service.address } << 16) | service.port,
    };
    return XXH3_64bits(words, sizeof words);
}

std::uint64_t rendezvousWeight(std::uint64_t flowHash, std::uint64_t candidate)
{
    return XXH3_64bits_withSeed(&candidate, sizeof candidate, flowHash);
}

} // namespace ibisgw::core
