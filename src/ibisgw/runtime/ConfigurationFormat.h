#pragma once

#include "ibisgw/direct/RouteConfiguration.h"

#include <optional>
#include <string>
#include <vector>

namespace ibisgw::runtime {

struct ConfigurationReading {
    // Empty when the text cannot be read in full.
    std::optional<direct::RouteConfiguration> configuration;
    std::vector<core::Problem> problems;
};

// Form in which operators send configurations. Adapters of a platform implement it.
class ConfigurationFormat {
public:
    virtual ~ConfigurationFormat();

    virtual ConfigurationReading read(const std::string& text) const = 0;
};

} // namespace ibisgw::runtime
