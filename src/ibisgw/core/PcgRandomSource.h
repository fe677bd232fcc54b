#pragma once

#include "ibisgw/core/RandomSource.h"

#include <pcg_random.hpp>

namespace ibisgw::core {

// PCG64 generator (O'Neill, 2014) with a fixed seed.
class PcgRandomSource final : public RandomSource {
public:
    explicit PcgRandomSource(std::uint64_t seed);

    std::uint64_t next() override;

private:
    pcg64 m_generator;
};

} // namespace ibisgw::core
