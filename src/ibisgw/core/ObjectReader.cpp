#include "ibisgw/core/ObjectReader.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace ibisgw::core {

namespace {

constexpr std::size_t maxNameBytes = 64;

constexpr const char* nameProblem = "must be a name of 1 to 64 letters, digits, '-', '_' or '.'";
constexpr const char* endpointProblem = "must be an IPv4 address with port, such as \"10.1.0.4:443\"";

std::string formatNumber(double value)
{
    return nlohmann::json(value).dump();
}

bool isNameCharacter(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '_'
        || c == '.';
}

} // namespace

bool isName(std::string_view text)
{
    return !text.empty() && text.size() <= maxNameBytes && std::ranges::all_of(text, isNameCharacter);
}

std::string childPath(const std::string& path, std::string_view member)
{
    std::string child = path + "/";
    for (const char c : member) {
        if (c == '~')
            child += "~0";
        else if (c == '/')
            child += "~1";
        else
            child += c;
    }
    return child;
}

std::string childPath(const std::string& path, std::size_t index)
{
    return path + "/" + std::to_string(index);
}

ObjectReader::ObjectReader(
    const nlohmann::json& json, std::string path, std::vector<Problem>& problems, UnknownMembers unknownMembers)
    : m_json(json)
    , m_path(std::move(path))
    , m_problems(problems)
    , m_unknownMembers(unknownMembers)
{
    if (!m_json.is_object())
        report("", std::string("must be an object in braces, not ") + m_json.type_name());
}

bool ObjectReader::has(std::string_view member) const
{
    return m_json.is_object() && m_json.contains(member);
}

void ObjectReader::report(std::string_view member, std::string message)
{
    m_problems.push_back({ member.empty() ? m_path : childPath(m_path, member), std::move(message) });
}

void ObjectReader::reportItem(std::string_view member, std::size_t index, std::string message)
{
    m_problems.push_back({ childPath(childPath(m_path, member), index), std::move(message) });
}

const nlohmann::json* ObjectReader::find(std::string_view member, Presence presence)
{
    m_readMembers.emplace(member);
    // The constructor has already reported a value that is not an object.
    if (!m_json.is_object())
        return nullptr;
    const auto it = m_json.find(member);
    if (it != m_json.end())
        return &*it;
    if (presence == Presence::Required)
        report(member, "is missing; add it");
    return nullptr;
}

const nlohmann::json* ObjectReader::findList(std::string_view member, Presence presence)
{
    const auto* json = find(member, presence);
    if (!json || json->is_array())
        return json;
    report(member, std::string("must be a list in brackets, not ") + json->type_name());
    return nullptr;
}

bool ObjectReader::readString(std::string_view member, std::string& value, Presence presence)
{
    const auto* json = find(member, presence);
    if (!json)
        return false;
    if (!json->is_string()) {
        report(member, std::string("must be text in quotes, not ") + json->type_name());
        return false;
    }
    value = json->get_ref<const std::string&>();
    return true;
}

std::optional<std::uint64_t> ObjectReader::readBoundedInteger(
    std::string_view member, std::uint64_t min, std::uint64_t max, Presence presence)
{
    const auto* json = find(member, presence);
    if (!json)
        return std::nullopt;
    if (!json->is_number_integer()) {
        report(member, std::string("must be a whole number, not ") + json->type_name());
        return std::nullopt;
    }
    const bool isNegative = !json->is_number_unsigned() && json->get<std::int64_t>() < 0;
    const auto value = isNegative ? 0 : json->get<std::uint64_t>();
    if (isNegative || value < min || value > max) {
        report(member, "must be between " + std::to_string(min) + " and " + std::to_string(max));
        return std::nullopt;
    }
    return value;
}

void ObjectReader::readName(std::string_view member, std::string& value, Presence presence)
{
    std::string text;
    if (!readString(member, text, presence))
        return;
    if (isName(text))
        value = std::move(text);
    else
        report(member, nameProblem);
}

void ObjectReader::readNames(std::string_view member, std::vector<std::string>& values, Presence presence)
{
    const auto* json = findList(member, presence);
    if (!json)
        return;
    std::vector<std::string> names;
    for (std::size_t n = 0; n < json->size(); ++n) {
        const auto& it = (*json)[n];
        std::string name;
        if (!it.is_string() || !isName(it.get_ref<const std::string&>()))
            reportItem(member, n, nameProblem);
        else if (std::ranges::find(names, it.get_ref<const std::string&>()) != names.end())
            reportItem(member, n, "is listed twice; remove one of them");
        else
            name = it.get<std::string>();
        names.push_back(std::move(name));
    }
    values = std::move(names);
}

void ObjectReader::readText(std::string_view member, std::string& value, Presence presence)
{
    std::string text;
    if (!readString(member, text, presence))
        return;
    if (text.empty() || text.size() > maxTextBytes || text.find('\0') != std::string::npos)
        report(member, "must have 1 to " + std::to_string(maxTextBytes) + " bytes and no zero byte");
    else
        value = std::move(text);
}

void ObjectReader::readBoolean(std::string_view member, bool& value)
{
    const auto* json = find(member, Presence::Optional);
    if (!json)
        return;
    if (json->is_boolean())
        value = json->get<bool>();
    else
        report(member, std::string("must be true or false, not ") + json->type_name());
}

void ObjectReader::readNumber(std::string_view member, double& value, double min, double max)
{
    const auto* json = find(member, Presence::Optional);
    if (!json)
        return;
    if (!json->is_number()) {
        report(member, std::string("must be a number, not ") + json->type_name());
        return;
    }
    const auto number = json->get<double>();
    // False for NaN, which a value decoded from CBOR may contain.
    if (number >= min && number <= max)
        value = number;
    else
        report(member, "must be between " + formatNumber(min) + " and " + formatNumber(max));
}

void ObjectReader::readEndpoint(std::string_view member, Endpoint& value, Presence presence, PortRule rule)
{
    std::string text;
    if (!readString(member, text, presence))
        return;
    const auto endpoint = Endpoint::parse(text);
    if (!endpoint)
        report(member, endpointProblem);
    else if (endpoint->port == 0 && rule == PortRule::NonZero)
        report(member, "needs a port between 1 and 65535");
    else
        value = *endpoint;
}

void ObjectReader::readEndpoints(std::string_view member, std::vector<Endpoint>& values, Presence presence)
{
    const auto* json = findList(member, presence);
    if (!json)
        return;
    std::vector<Endpoint> endpoints;
    for (std::size_t n = 0; n < json->size(); ++n) {
        const auto& it = (*json)[n];
        const auto endpoint = it.is_string() ? Endpoint::parse(it.get_ref<const std::string&>()) : std::nullopt;
        if (!endpoint)
            reportItem(member, n, endpointProblem);
        else if (endpoint->port == 0)
            reportItem(member, n, "needs a port between 1 and 65535");
        else if (std::ranges::find(endpoints, *endpoint) != endpoints.end())
            reportItem(member, n, "is listed twice; remove one of them");
        endpoints.push_back(endpoint.value_or(Endpoint {}));
    }
    values = std::move(endpoints);
}

void ObjectReader::readObjects(
    std::string_view member, Presence presence, const std::function<void(ObjectReader&)>& readItem)
{
    const auto* json = findList(member, presence);
    if (!json)
        return;
    const auto path = childPath(m_path, member);
    for (std::size_t n = 0; n < json->size(); ++n) {
        ObjectReader reader((*json)[n], childPath(path, n), m_problems, m_unknownMembers);
        readItem(reader);
        reader.finish();
    }
}

void ObjectReader::readObject(
    std::string_view member, Presence presence, const std::function<void(ObjectReader&)>& read)
{
    const auto* json = find(member, presence);
    if (!json)
        return;
    ObjectReader reader(*json, childPath(m_path, member), m_problems, m_unknownMembers);
    read(reader);
    reader.finish();
}

void ObjectReader::finish()
{
    if (!m_json.is_object() || m_unknownMembers == UnknownMembers::Ignored)
        return;
    for (const auto& [member, value] : m_json.items()) {
        if (!m_readMembers.contains(member))
            report(member, "is not a known field; correct its spelling or remove it");
    }
}

} // namespace ibisgw::core
