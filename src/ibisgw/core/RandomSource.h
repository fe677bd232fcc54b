#pragma once

#include <cstdint>

namespace ibisgw::core {

// Source of random numbers. Every class that makes random decisions receives one as an argument, so that a run with the
// same seed gives the same result.
class RandomSource {
public:
    virtual ~RandomSource();

    virtual std::uint64_t next() = 0;

    // Uniform in [0, bound); 0 when bound is 0.
    std::uint64_t below(std::uint64_t bound);
    // Uniform in [0, 1).
    double unit();
    // True with the given probability.
    bool chance(double probability);
};

} // namespace ibisgw::core
