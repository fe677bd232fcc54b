#pragma once

#include "ibisgw/adapters/CheckOutput.h"
#include "ibisgw/runtime/ConfigurationFormat.h"

#include <iosfwd>

namespace ibisgw::runtime {

// Checks the text of a configuration and compares it with `base` unless that is null. Never throws, whatever the text
// is.
core::CheckReport checkConfigurationText(
    const ConfigurationFormat&, const std::string& text, const direct::RouteConfiguration* base = nullptr);

// Checks a file, optionally against another file, and prints the report. Returns the exit status of
// adapters::printCheckReport(). Needs neither settings nor a daemon.
int checkConfigurationFile(
    const ConfigurationFormat&, const adapters::CheckOptions&, std::ostream& out, std::ostream& err);

} // namespace ibisgw::runtime
