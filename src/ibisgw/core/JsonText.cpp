#include "ibisgw/core/JsonText.h"

#include <algorithm>
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

std::string printableText(const std::string& text)
{
    auto printable = nlohmann::json::parse(formatJson(text)).get<std::string>();
    std::ranges::replace_if(
        printable, [](unsigned char c) { return c < 0x20 || c == 0x7f; }, '?');
    // U+0080 to U+009F are control characters too; in UTF-8 they are 0xc2 and a byte below 0xa0.
    for (std::size_t n = 0; n + 1 < printable.size(); ++n) {
        if (printable[n] == '\xc2' && static_cast<unsigned char>(printable[n + 1]) < 0xa0)
            printable[n] = printable[n + 1] = '?';
    }
    return printable;
}

} // namespace ibisgw::core
