#include "ibisgw/core/JsonText.h"

#include <nlohmann/json.hpp>

#include <set>

namespace ibisgw::core {

namespace {

using Event = nlohmann::json::parse_event_t;

// Parser callback that detects faults that the parsed value does not show: repeated member names and deep nesting.
struct ParseObserver {
    std::vector<std::set<std::string>> openObjects;
    std::set<std::string> repeatedNames;
    bool isTooDeep { false };

    bool handle(int depth, Event event, const nlohmann::json& parsed)
    {
        if (isTooDeep || depth > maxJsonDepth) {
            isTooDeep = true;
            return false;
        }
        if (event == Event::object_start)
            openObjects.emplace_back();
        else if (event == Event::object_end)
            openObjects.pop_back();
        else if (event == Event::key && !openObjects.back().insert(parsed.get_ref<const std::string&>()).second)
            repeatedNames.insert(parsed.get_ref<const std::string&>());
        return true;
    }
};

} // namespace

std::optional<nlohmann::json> parseJson(std::string_view text, std::vector<Problem>& problems)
{
    ParseObserver observer;
    try {
        auto json = nlohmann::json::parse(text,
            [&](int depth, Event event, nlohmann::json& parsed) { return observer.handle(depth, event, parsed); });
        if (observer.isTooDeep)
            problems.push_back({ "", "nested more than " + std::to_string(maxJsonDepth) + " levels deep; flatten it" });
        for (const auto& it : observer.repeatedNames)
            problems.push_back({ "", "the field '" + it + "' occurs twice in one object; keep one of them" });
        if (observer.isTooDeep || !observer.repeatedNames.empty())
            return std::nullopt;
        return json;
    } catch (const nlohmann::json::exception& exception) {
        problems.push_back({ "", std::string("not JSON: ") + exception.what() });
        return std::nullopt;
    }
}

std::string formatJson(const nlohmann::json& json, int indent)
{
    return json.dump(indent, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace ibisgw::core
