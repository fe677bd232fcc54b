#pragma once

#include "ibisgw/direct/RouteConfiguration.h"

#include <optional>
#include <string>
#include <vector>

namespace ibisgw::runtime {

// Result of parsing a configuration.
struct ConfigurationReadResult {
    // Empty if any part of the text is invalid; `problems` then lists the reasons.
    std::optional<direct::RouteConfiguration> configuration;
    std::vector<core::Problem> problems;
};

// Parses the format in which operators submit configurations. Each platform provides an implementation.
class ConfigurationFormat {
public:
    virtual ~ConfigurationFormat();

    virtual ConfigurationReadResult read(const std::string& text) const = 0;
};

} // namespace ibisgw::runtime
