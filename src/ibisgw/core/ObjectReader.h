#pragma once

#include "ibisgw/core/Endpoint.h"
#include "ibisgw/core/NameTable.h"
#include "ibisgw/core/Problem.h"

#include <nlohmann/json_fwd.hpp>

#include <algorithm>
#include <concepts>
#include <functional>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace ibisgw::core {

enum class Presence {
    Required,
    Optional,
};

// Whether an endpoint may have port 0, which lets the system choose a port.
enum class PortRule {
    Fixed,
    AnyPort,
};

// What becomes of members that nobody reads. Documents of other programs may have more members than ibisgw knows.
enum class UnknownMembers {
    Reported,
    Ignored,
};

// Reads typed members of one JSON object. Each fault is added to the problems with its JSON pointer;
// the target keeps its value when the member is absent or faulty. A faulty item of a list is read as
// an empty value, so that the indexes are those of the JSON. No content of the JSON causes an exception.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json&, std::string path, std::vector<Problem>& problems,
        UnknownMembers = UnknownMembers::Reported);

    // A name has 1 to 64 letters, digits, '-', '_' and '.', so it fits into URLs, labels and log lines.
    void readName(std::string_view member, std::string& value, Presence);
    void readNames(std::string_view member, std::vector<std::string>& values, Presence);
    // Any text that is not empty, such as a file name.
    void readText(std::string_view member, std::string& value, Presence);
    void readBoolean(std::string_view member, bool& value);
    void readNumber(std::string_view member, double& value, double min, double max);
    void readEndpoint(std::string_view member, Endpoint& value, Presence, PortRule);
    void readEndpoints(std::string_view member, std::vector<Endpoint>& values, Presence);
    template <std::unsigned_integral T>
    void readInteger(std::string_view member, T& value, std::uint64_t min, std::uint64_t max, Presence presence)
    {
        if (const auto n
            = integerOf(member, min, std::min<std::uint64_t>(max, std::numeric_limits<T>::max()), presence))
            value = static_cast<T>(*n);
    }
    template <typename Enum, std::size_t count>
    void readEnum(std::string_view member, Enum& value, const NameTable<Enum, count>& names)
    {
        std::string text;
        if (!stringOf(member, text, Presence::Optional))
            return;
        if (const auto parsed = names.valueOf(text))
            value = *parsed;
        else
            report(member, "has an unknown value; use one of: " + names.listNames());
    }
    // Calls the function with a reader for each object of the list.
    void readObjects(std::string_view member, Presence, const std::function<void(ObjectReader&)>&);
    // Calls the function with a reader for the object.
    void readObject(std::string_view member, Presence, const std::function<void(ObjectReader&)>&);

    // Reports the members that were not read, unless they are to be ignored.
    void finish();

    bool has(std::string_view member) const;
    // Adds a problem; an empty member means the object itself.
    void report(std::string_view member, std::string message);
    void reportItem(std::string_view member, std::size_t index, std::string message);
    const std::string& path() const { return m_path; }

private:
    const nlohmann::json* find(std::string_view member, Presence);
    const nlohmann::json* findList(std::string_view member, Presence);
    bool stringOf(std::string_view member, std::string& value, Presence);
    std::optional<std::uint64_t> integerOf(std::string_view member, std::uint64_t min, std::uint64_t max, Presence);

    const nlohmann::json& m_json;
    std::string m_path;
    std::vector<Problem>& m_problems;
    UnknownMembers m_unknownMembers;
    std::set<std::string, std::less<>> m_known;
};

bool isName(std::string_view);

// Path of a member or list item below the given JSON pointer (RFC 6901).
std::string childPath(const std::string& path, std::string_view member);

} // namespace ibisgw::core
