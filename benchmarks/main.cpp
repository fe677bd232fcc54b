#include "Measures.h"

#include <cxxopts.hpp>
#include <iostream>

namespace {

bench::MeasureList allMeasures()
{
    bench::MeasureList measures;
    bench::addPlacementMeasures(measures);
    bench::addRequestMeasures(measures);
    bench::addConfigurationMeasures(measures);
    bench::addMembershipMeasures(measures);
    return measures;
}

bool runMeasure(const bench::Measure& measure, std::uint64_t seed)
{
    const auto result = measure.run(seed);
    nlohmann::ordered_json line {
        { "measure", measure.name },
        { "value", result.value },
        { "unit", measure.unit },
        { "bound", result.bound },
        { "ok", result.isOk() },
        { "seed", seed },
    };
    for (const auto& [key, value] : result.details.items())
        line[key] = value;
    std::cout << line.dump() << std::endl;
    return result.isOk();
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("ibisgw-bench", "Runs measures and compares each with its bound");
    options.add_options()("list", "List the measures")(
        "filter", "Run the measures whose name contains the text", cxxopts::value<std::string>()->default_value(""))(
        "seed", "Seed of all random choices", cxxopts::value<std::uint64_t>()->default_value("1"))(
        "deterministic", "Run only the measures that depend on virtual time and counts")("help", "Show this text");
    const auto arguments = options.parse(argc, argv);
    if (arguments.count("help")) {
        std::cout << options.help();
        return 0;
    }
    bool allOk = true;
    for (const auto& it : allMeasures()) {
        if (it.name.find(arguments["filter"].as<std::string>()) == std::string::npos)
            continue;
        if (arguments.count("deterministic") && !it.isDeterministic)
            continue;
        if (arguments.count("list"))
            std::cout << it.name << " (" << it.unit << ")\n";
        else
            allOk = runMeasure(it, arguments["seed"].as<std::uint64_t>()) && allOk;
    }
    return allOk ? 0 : 1;
}
