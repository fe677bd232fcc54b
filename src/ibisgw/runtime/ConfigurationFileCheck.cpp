#include "ibisgw/runtime/ConfigurationFileCheck.h"

#include "ibisgw/adapters/HttpServer.h"
#include "ibisgw/direct/ConfigurationCheck.h"

#include <nlohmann/json.hpp>

namespace ibisgw::runtime {

namespace {

// Controllers reject larger configurations.
constexpr std::size_t maxBytes = adapters::HttpLimits {}.maxBodyBytes;

// Empty after an error has been added to the report.
std::optional<direct::RouteConfiguration> readBase(
    const ConfigurationFormat& format, const std::string& file, core::CheckReport& report)
{
    const auto text = adapters::readCheckedFile(file, maxBytes, report);
    if (!text)
        return std::nullopt;
    auto reading = format.read(*text);
    if (!reading.configuration)
        adapters::addBaseError(file, reading.problems, report);
    return std::move(reading.configuration);
}

core::CheckReport checkFiles(const ConfigurationFormat& format, const adapters::CheckOptions& options)
{
    core::CheckReport report;
    const auto text = adapters::readCheckedFile(options.file, maxBytes, report);
    if (!text)
        return report;
    if (options.against.empty())
        return checkConfigurationText(format, *text);
    const auto base = readBase(format, options.against, report);
    return base ? checkConfigurationText(format, *text, &*base) : report;
}

} // namespace

core::CheckReport checkConfigurationText(
    const ConfigurationFormat& format, const std::string& text, const direct::RouteConfiguration* base)
{
    const auto reading = format.read(text);
    if (reading.configuration)
        return direct::checkConfiguration(*reading.configuration, base);
    core::CheckReport report;
    report.addErrors(reading.problems);
    return report;
}

int checkConfigurationFile(
    const ConfigurationFormat& format, const adapters::CheckOptions& options, std::ostream& out, std::ostream& err)
{
    return adapters::printCheckReport(core::toJson(checkFiles(format, options)), options, out, err);
}

} // namespace ibisgw::runtime
