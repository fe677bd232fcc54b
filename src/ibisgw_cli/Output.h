#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace ibisgw_cli {

enum class OutputFormat {
    Table,
    Json,
};

// Prints a heading and one line for each object of `rows`; each column shows the field of that name.
void printTable(std::ostream&, const nlohmann::json& rows, const std::vector<std::string>& columns);

// Prints an error object of the API as JSON, or its message and problems as text.
void printError(std::ostream&, OutputFormat, const nlohmann::json& error);

} // namespace ibisgw_cli
