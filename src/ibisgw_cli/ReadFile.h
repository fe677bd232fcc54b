#pragma once

#include <optional>
#include <string>

namespace ibisgw_cli {

struct Invocation;

// Reads a file that the command line names; empty after the error has been printed.
std::optional<std::string> readFile(const Invocation&, const std::string& file, const std::string& description);

} // namespace ibisgw_cli
