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
    // Further fields of the printed JSON line, such as `baseline_hash`.
    nlohmann::json details = nlohmann::json::object();

    bool isOk() const;
};

// A value that ibisgw-bench measures, prints and compares with a bound.
struct Measure {
    std::string name;
    std::string unit;
    // True if the value depends on virtual time and counts only; such measures run in CI.
    bool isDeterministic { true };
    std::function<MeasureResult(std::uint64_t seed)> run;
};

// main() passes the list to a function of each file of measures, which appends its own.
using MeasureList = std::vector<Measure>;

} // namespace bench
