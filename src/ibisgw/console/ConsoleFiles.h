#pragma once

#include <string_view>

namespace ibisgw::console {

// The operators' console: static files that the daemon serves under /console. The page uses only the
// administration API. Kept as raw strings, so that the build needs no further tool.
extern const std::string_view page;
extern const std::string_view style;
extern const std::string_view formScript;
extern const std::string_view callScript;

} // namespace ibisgw::console
