#include "common/StandinOptions.h"

#include "ibisgw/adapters/EventLoop.h"

#include <cstdio>
#include <fstream>
#include <iostream>

namespace standins {

using namespace ibisgw;

int runStandin(cxxopts::Options& options, int argc, char** argv,
    const std::function<core::Result<int>(const cxxopts::ParseResult&)>& body)
{
    adapters::installTerminationSignals();
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return 0;
        }
        return boost::leaf::try_handle_all([&] { return body(arguments); },
            [](const core::Error& error) {
                std::cerr << error.message << "\n";
                return 1;
            },
            [] { return 1; });
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "\n";
        return 2;
    }
}

core::Result<core::Endpoint> endpointOption(const cxxopts::ParseResult& arguments, const std::string& name)
{
    const auto text = arguments[name].as<std::string>();
    const auto endpoint = core::Endpoint::parse(text);
    if (!endpoint)
        return core::fail(core::ErrorKind::InvalidInput, "--" + name + " requires ADDRESS:PORT, but is '" + text + "'");
    return *endpoint;
}

void writeJsonFile(const std::string& file, const nlohmann::json& json)
{
    const auto temporary = file + ".new";
    std::ofstream(temporary) << json.dump(2) << "\n";
    std::rename(temporary.c_str(), file.c_str());
}

} // namespace standins
