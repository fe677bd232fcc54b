#pragma once

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace bench {

enum class Comparison {
    AtMost,
    Below,
    AtLeast,
};

struct MeasureResult {
    double value { 0 };
    double bound { 0 };
    Comparison comparison { Comparison::AtMost };
    // Further fields of the printed line, such as `baseline_hash`.
    nlohmann::json details = nlohmann::json::object();

    bool isOk() const;
};

// One figure that the bench prints and compares with its bound.
struct Measure {
    std::string name;
    std::string unit;
    // Virtual time and counts only; such measures run in CI.
    bool isDeterministic { true };
    std::function<MeasureResult(std::uint64_t seed)> run;
};

// Each file of measures adds its own here, called by main().
using MeasureList = std::vector<Measure>;

} // namespace bench
