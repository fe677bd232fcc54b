#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace ibisgw::core {

// Maps the values of an `enum class` to their names in documents, logs and messages.
template <typename Enum, std::size_t count> struct NameTable {
    std::pair<Enum, std::string_view> entries[count];

    constexpr std::string_view nameOf(Enum value) const
    {
        for (const auto& [candidate, name] : entries) {
            if (candidate == value)
                return name;
        }
        return "unknown";
    }

    constexpr std::optional<Enum> valueOf(std::string_view text) const
    {
        for (const auto& [candidate, name] : entries) {
            if (name == text)
                return candidate;
        }
        return std::nullopt;
    }

    // All names, separated by commas, for messages that list the valid values.
    std::string listNames() const
    {
        std::string list;
        for (const auto& [value, name] : entries) {
            if (!list.empty())
                list += ", ";
            list += name;
        }
        return list;
    }
};

} // namespace ibisgw::core
