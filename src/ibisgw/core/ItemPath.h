#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ibisgw::core {

// JSON pointer (RFC 6901) to an item of a list.
inline std::string itemPath(std::string_view list, std::size_t index)
{
    return std::string(list) + "/" + std::to_string(index);
}

} // namespace ibisgw::core
