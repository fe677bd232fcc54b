#pragma once

#include <string_view>

namespace ibisgw::console {

// Static files of the operators' web console, which a daemon serves under /console. The page calls the administration
// API only. The files are raw strings, so that the build needs no tool to embed them.
extern const std::string_view page;
extern const std::string_view style;
extern const std::string_view formScript;
extern const std::string_view callScript;

} // namespace ibisgw::console
