#pragma once

#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/core/Endpoint.h"

#include <cxxopts.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace standins {

// Parses the command line and runs the body. Returns the exit status: 2 for invalid arguments, 1 if the body fails
// (its error goes to stderr), otherwise the value that the body returns.
int runStandin(cxxopts::Options&, int argc, char** argv,
    const std::function<ibisgw::core::Result<int>(const cxxopts::ParseResult&)>& body);

// Parses an option of the form ADDRESS:PORT; fails with InvalidInput if it is malformed.
ibisgw::core::Result<ibisgw::core::Endpoint> endpointOption(const cxxopts::ParseResult&, const std::string& name);

// Writes JSON to a temporary file and renames it, so that a reader never sees a partial file.
void writeJsonFile(const std::string& file, const nlohmann::json&);

} // namespace standins
