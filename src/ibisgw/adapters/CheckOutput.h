#pragma once

#include "ibisgw/core/CheckReport.h"

#include <nlohmann/json_fwd.hpp>

#include <iosfwd>
#include <optional>
#include <string>

namespace ibisgw::adapters {

// Files and output form of a check that an operator starts.
struct CheckOptions {
    // File with the configuration.
    std::string file;
    // What to compare it with; empty for no comparison.
    std::string against;
    bool isJson { false };
};

// Reads a file to check. Adds an error to the report and returns empty if it can't be read, isn't a regular file or
// exceeds `maxBytes`.
std::optional<std::string> readCheckedFile(const std::string& file, std::size_t maxBytes, core::CheckReport&);

// Adds an error to the report that the file to compare with is invalid, with its first problem.
void addBaseError(const std::string& file, const std::vector<core::Problem>&, core::CheckReport&);

// Prints a report in the form of core::toJson(), also one from another daemon. JSON goes to `out`; of the text, a
// report with errors goes to `err`. Returns the exit status: 0 without errors and warnings, 1 with warnings, 2 with
// errors.
int printCheckReport(const nlohmann::json& report, const CheckOptions&, std::ostream& out, std::ostream& err);

} // namespace ibisgw::adapters
