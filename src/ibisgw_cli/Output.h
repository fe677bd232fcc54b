#pragma once

#include <nlohmann/json.hpp>

#include <iosfwd>
#include <string>
#include <vector>

namespace ibisgw_cli {

enum class OutputForm {
    Table,
    Json,
};

// Prints a list of objects with one line each and one column for each field.
void printTable(std::ostream&, const nlohmann::json& rows, const std::vector<std::string>& columns);

// Prints an error of the API with its problems; as JSON in JSON form.
void printError(std::ostream&, OutputForm, const nlohmann::json& error);

} // namespace ibisgw_cli
