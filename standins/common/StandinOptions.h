#pragma once

#include "ibisgw/adapters/UdpSocket.h"
#include "ibisgw/core/Endpoint.h"

#include <cxxopts.hpp>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

namespace standins {

// Parses the arguments and runs the body. Returns 2 for invalid arguments, 1 when the body reports an
// error, otherwise what the body returns.
int runStandin(cxxopts::Options&, int argc, char** argv,
    const std::function<ibisgw::core::Result<int>(const cxxopts::ParseResult&)>& body);

// Reads an address option; a malformed one ends in a typed error.
ibisgw::core::Result<ibisgw::core::Endpoint> endpointOption(const cxxopts::ParseResult&, const std::string& name);

// Writes JSON to a file under a temporary name first, so that a reader never sees half of it.
void writeJsonFile(const std::string& file, const nlohmann::json&);

} // namespace standins
