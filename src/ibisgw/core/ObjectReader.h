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

// Longest text that daemons accept, such as the name of a service.
constexpr std::size_t maxTextBytes = 4096;

// Whether a missing member is reported as a problem.
enum class Presence {
    Required,
    Optional,
};

// Whether an endpoint may have port 0, with which the operating system chooses a port.
enum class PortRule {
    NonZero,
    ZeroAllowed,
};

// How members that are not read are treated. They are ignored in documents of other programs, which may have members
// that ibisgw does not use.
enum class UnknownMembers {
    Reported,
    Ignored,
};

// Reads typed members of one JSON object. Adds a problem with the JSON pointer for each invalid member. The target
// keeps its value when the member is absent or invalid. An invalid item of a list is read as an empty value, so that
// the indexes match those of the JSON. No content of the JSON causes an exception.
class ObjectReader {
public:
    ObjectReader(const nlohmann::json&, std::string path, std::vector<Problem>& problems,
        UnknownMembers = UnknownMembers::Reported);

    // A name has 1 to 64 letters, digits, '-', '_' or '.', so it needs no escaping in URLs, metric labels and log
    // lines.
    void readName(std::string_view member, std::string& value, Presence);
    void readNames(std::string_view member, std::vector<std::string>& values, Presence);
    // Any text of 1 to 4096 bytes without a zero byte, such as a file name.
    void readText(std::string_view member, std::string& value, Presence);
    void readBoolean(std::string_view member, bool& value);
    void readNumber(std::string_view member, double& value, double min, double max);
    void readEndpoint(std::string_view member, Endpoint& value, Presence, PortRule);
    void readEndpoints(std::string_view member, std::vector<Endpoint>& values, Presence);
    template <std::unsigned_integral T>
    void readInteger(std::string_view member, T& value, std::uint64_t min, std::uint64_t max, Presence presence)
    {
        if (const auto n
            = readBoundedInteger(member, min, std::min<std::uint64_t>(max, std::numeric_limits<T>::max()), presence))
            value = static_cast<T>(*n);
    }
    template <typename Enum, std::size_t count>
    void readEnum(std::string_view member, Enum& value, const NameTable<Enum, count>& names)
    {
        std::string text;
        if (!readString(member, text, Presence::Optional))
            return;
        if (const auto parsed = names.valueOf(text))
            value = *parsed;
        else
            report(member, "has an unknown value; use one of: " + names.listNames());
    }
    // Calls the function with a reader for each object of the list, and reports unknown members of the object.
    void readObjects(std::string_view member, Presence, const std::function<void(ObjectReader&)>&);
    // Calls the function with a reader for the object, and reports unknown members of the object.
    void readObject(std::string_view member, Presence, const std::function<void(ObjectReader&)>&);

    // Reports the members that were not read, unless UnknownMembers::Ignored was given. Call after all reads.
    void finish();

    bool has(std::string_view member) const;
    // Adds a problem of a member, or of the object itself if `member` is empty.
    void report(std::string_view member, std::string message);
    void reportItem(std::string_view member, std::size_t index, std::string message);
    const std::string& path() const { return m_path; }

private:
    // Both return null when the member is absent; findList() also returns null, and reports a problem, when the member
    // is not a list.
    const nlohmann::json* find(std::string_view member, Presence);
    const nlohmann::json* findList(std::string_view member, Presence);
    // False, or empty, when the member is absent or invalid; reports a problem when it is required or invalid.
    bool readString(std::string_view member, std::string& value, Presence);
    std::optional<std::uint64_t> readBoundedInteger(
        std::string_view member, std::uint64_t min, std::uint64_t max, Presence);

    const nlohmann::json& m_json;
    std::string m_path;
    std::vector<Problem>& m_problems;
    UnknownMembers m_unknownMembers;
    std::set<std::string, std::less<>> m_readMembers;
};

// Whether the text is a valid name; see ObjectReader::readName().
bool isName(std::string_view);

// Path of a member or of a list item below the given JSON pointer (RFC 6901).
std::string childPath(const std::string& path, std::string_view member);
std::string childPath(const std::string& path, std::size_t index);

} // namespace ibisgw::core
