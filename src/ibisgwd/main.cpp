#include "ibisgw/adapters/InputFile.h"
#include "ibisgw/adapters/Log.h"
#include "ibisgw/core/JsonText.h"
#include "ibisgwd/Daemon.h"

#include <cxxopts.hpp>
#include <iostream>
#include <nlohmann/json.hpp>

using namespace ibisgw;

namespace {

// Exit statuses, also listed in docs/OPERATIONS.md.
constexpr int exitOk = 0;
constexpr int exitFailed = 1;
constexpr int exitInvalidInput = 2;

int runDaemon(const std::string& settingsFile)
{
    settings::SettingsReadResult reading;
    const auto text = boost::leaf::try_handle_all(
        [&]() -> core::Result<std::string> { return adapters::readInputFile(settingsFile, "the settings file"); },
        [&](const core::Error& error) {
            reading.problems.push_back({ "", error.message });
            return std::string();
        },
        [] { return std::string(); });
    if (const auto json = reading.problems.empty() ? core::parseJson(text, reading.problems) : std::nullopt)
        reading = settings::readSettings(*json);
    if (!reading.settings) {
        for (const auto& it : reading.problems)
            std::cerr << settingsFile << ": " << it.path << ": " << it.message << "\n";
        return exitInvalidInput;
    }
    adapters::initializeLog(reading.settings->name, reading.settings->logFile);
    adapters::installTerminationSignals();
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<int> {
            BOOST_LEAF_AUTO(daemon, ibisgwd::Daemon::create(std::move(*reading.settings)));
            daemon->run();
            return exitOk;
        },
        [](const core::Error& error) {
            adapters::log(adapters::LogLevel::Error, error.message, { { "kind", core::nameOf(error.kind) } });
            return exitFailed;
        },
        [] { return exitFailed; });
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("ibisgwd", "Layer-4 load balancer daemon");
    options.add_options()("settings", "JSON file with the settings of this daemon", cxxopts::value<std::string>())(
        "help", "Show this text")("version", "Show the version");
    options.parse_positional({ "settings" });
    options.positional_help("SETTINGS");
    try {
        const auto arguments = options.parse(argc, argv);
        if (arguments.count("help")) {
            std::cout << options.help();
            return exitOk;
        }
        if (arguments.count("version")) {
            std::cout << "ibisgwd 0.1.0\n";
            return exitOk;
        }
        if (!arguments.count("settings")) {
            std::cerr << "specify the settings file; see ibisgwd --help\n";
            return exitInvalidInput;
        }
        return runDaemon(arguments["settings"].as<std::string>());
    } catch (const cxxopts::exceptions::exception& exception) {
        std::cerr << exception.what() << "; see ibisgwd --help\n";
        return exitInvalidInput;
    }
}
