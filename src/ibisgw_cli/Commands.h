#pragma once

#include "ibisgw_cli/ExitStatus.h"

#include <iosfwd>
#include <string>
#include <vector>

namespace ibisgw_cli {

// Runs one command line; `arguments` excludes the program's name. Results go to `out`, errors to `err`.
ExitStatus runCommandLine(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err);

} // namespace ibisgw_cli
