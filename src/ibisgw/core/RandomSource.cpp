#include "ibisgw/core/RandomSource.h"

namespace ibisgw::core {

RandomSource::~RandomSource() = default;

std::uint64_t RandomSource::below(std::uint64_t bound)
{
    return bound ? next() % bound : 0;
}

double RandomSource::unit()
{
    constexpr double twoToMinus53 = 1.0 / 9007199254740992.0;
    return static_cast<double>(next() >> 11) * twoToMinus53;
}

bool RandomSource::chance(double probability)
{
    return unit() < probability;
}

} // namespace ibisgw::core
