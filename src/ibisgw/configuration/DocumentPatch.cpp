#include "ibisgw/configuration/DocumentPatch.h"

#include "ibisgw/core/ObjectReader.h"

#include <nlohmann/json.hpp>

namespace ibisgw::configuration {

namespace {

using Json = nlohmann::json;

void addOperation(Json& patch, const char* operation, const std::string& path)
{
    patch.push_back({ { "op", operation }, { "path", path } });
}

void addOperation(Json& patch, const char* operation, const std::string& path, const Json& value)
{
    patch.push_back({ { "op", operation }, { "path", path }, { "value", value } });
}

void diffValues(Json& patch, const std::string& path, const Json& base, const Json& target);

// Skips the common prefix and suffix; only the elements between them are compared, removed or added.
void diffArrays(Json& patch, const std::string& path, const Json& base, const Json& target)
{
    std::size_t first = 0;
    while (first < base.size() && first < target.size() && base[first] == target[first])
        ++first;
    std::size_t baseEnd = base.size();
    std::size_t targetEnd = target.size();
    while (baseEnd > first && targetEnd > first && base[baseEnd - 1] == target[targetEnd - 1]) {
        --baseEnd;
        --targetEnd;
    }
    std::size_t n = first;
    for (; n < baseEnd && n < targetEnd; ++n)
        diffValues(patch, core::childPath(path, n), base[n], target[n]);
    for (auto rest = n; rest < baseEnd; ++rest)
        addOperation(patch, "remove", core::childPath(path, n));
    for (; n < targetEnd; ++n)
        addOperation(patch, "add", core::childPath(path, n), target[n]);
}

void diffObjects(Json& patch, const std::string& path, const Json& base, const Json& target)
{
    for (const auto& [key, value] : base.items()) {
        if (const auto found = target.find(key); found != target.end())
            diffValues(patch, core::childPath(path, key), value, *found);
        else
            addOperation(patch, "remove", core::childPath(path, key));
    }
    for (const auto& [key, value] : target.items()) {
        if (!base.contains(key))
            addOperation(patch, "add", core::childPath(path, key), value);
    }
}

void diffValues(Json& patch, const std::string& path, const Json& base, const Json& target)
{
    if (base == target && base.type() == target.type())
        return;
    if (base.is_array() && target.is_array())
        diffArrays(patch, path, base, target);
    else if (base.is_object() && target.is_object())
        diffObjects(patch, path, base, target);
    else
        addOperation(patch, "replace", path, target);
}

} // namespace

std::optional<std::string> makePatch(const std::string& base, const std::string& target)
{
    const auto from = Json::parse(base, nullptr, false);
    const auto to = Json::parse(target, nullptr, false);
    if (from.is_discarded() || to.is_discarded())
        return std::nullopt;
    auto patch = Json::array();
    diffValues(patch, "", from, to);
    return patch.dump();
}

std::optional<std::string> makeExactPatch(const std::string& base, const std::string& target)
{
    auto patch = makePatch(base, target);
    if (!patch || patch->size() >= target.size() || applyPatch(base, *patch) != target)
        return std::nullopt;
    return patch;
}

std::optional<std::string> applyPatch(const std::string& base, const std::string& patch)
{
    const auto document = Json::parse(base, nullptr, false);
    const auto operations = Json::parse(patch, nullptr, false);
    if (document.is_discarded() || operations.is_discarded())
        return std::nullopt;
    try {
        return document.patch(operations).dump();
    } catch (const Json::exception&) {
        return std::nullopt;
    }
}

} // namespace ibisgw::configuration
