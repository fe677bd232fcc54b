#pragma once

#include "ibisgw/core/Problem.h"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

namespace support {

// Paths of the problems in sorted order, separated by spaces, so that a test can compare all of them at once. An empty
// path is written as "(root)".
inline std::string pathsOf(const std::vector<ibisgw::core::Problem>& problems)
{
    std::vector<std::string> paths;
    paths.reserve(problems.size());
    for (const auto& it : problems)
        paths.push_back(it.path.empty() ? "(root)" : it.path);
    std::ranges::sort(paths);
    std::string text;
    for (const auto& it : paths)
        text += (text.empty() ? "" : " ") + it;
    return text;
}

// Whether the message of any problem contains the text.
inline bool mentions(const std::vector<ibisgw::core::Problem>& problems, std::string_view text)
{
    return std::ranges::any_of(problems, [&](const auto& it) { return it.message.find(text) != std::string::npos; });
}

} // namespace support
