#include "ibisgw_cli/Output.h"

#include "ibisgw/core/JsonText.h"

#include <algorithm>
#include <iomanip>
#include <ostream>

namespace ibisgw_cli {

namespace {

// Text of a table cell; names come from other machines.
std::string cellText(const nlohmann::json& value)
{
    return ibisgw::core::printableText(value.is_string() ? value.get<std::string>() : ibisgw::core::formatJson(value));
}

} // namespace

void printTable(std::ostream& out, const nlohmann::json& rows, const std::vector<std::string>& columns)
{
    std::vector<std::vector<std::string>> lines { columns };
    for (const auto& row : rows) {
        auto& line = lines.emplace_back();
        for (const auto& it : columns)
            line.push_back(row.contains(it) ? cellText(row.at(it)) : "");
    }
    std::vector<std::size_t> widths(columns.size());
    for (const auto& line : lines) {
        for (std::size_t n = 0; n < line.size(); ++n)
            widths[n] = std::max(widths[n], line[n].size());
    }
    for (const auto& line : lines) {
        for (std::size_t n = 0; n + 1 < line.size(); ++n)
            out << std::left << std::setw(static_cast<int>(widths[n]) + 2) << line[n];
        out << line.back() << "\n";
    }
}

void printError(std::ostream& out, OutputFormat format, const nlohmann::json& error)
{
    if (format == OutputFormat::Json) {
        out << ibisgw::core::formatJson(error, 2) << "\n";
        return;
    }
    out << cellText(error.value("message", nlohmann::json("failed"))) << "\n";
    for (const auto& it : error.value("problems", nlohmann::json::array()))
        out << "  " << cellText(it.value("path", nlohmann::json(""))) << ": "
            << cellText(it.value("message", nlohmann::json(""))) << "\n";
}

} // namespace ibisgw_cli
