#pragma once

#include <optional>
#include <string>

namespace ibisgw_cli {

struct Invocation;

// Reads a file that is named on the command line; empty after an error has been printed. `description` is what the
// error calls the file, such as "the log".
std::optional<std::string> readFile(const Invocation&, const std::string& file, const std::string& description);

} // namespace ibisgw_cli
