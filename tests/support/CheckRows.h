#pragma once

#include "ibisgw/core/CheckReport.h"

#include <nlohmann/json.hpp>

#include <string>

namespace support {

// Rules and paths of all findings in the order of the report, separated by ", ".
inline std::string textOf(const ibisgw::core::CheckReport& report)
{
    std::string text;
    for (const auto& [rule, problem] : report.findings())
        text += (text.empty() ? "" : ", ") + std::string(ibisgw::core::checkRuleNames.nameOf(rule)) + " "
            + (problem.path.empty() ? "(root)" : problem.path);
    return text;
}

// One change of a valid document, and the only finding that it must cause.
struct CheckRow {
    ibisgw::core::CheckRule rule;
    std::string findingPath;
    std::string changedPath;
    nlohmann::json value;

    // Sets the value at the changed path, which is appended if it is the end of a list.
    nlohmann::json applyTo(nlohmann::json document) const
    {
        document[nlohmann::json::json_pointer(changedPath)] = value;
        return document;
    }
    std::string expectedText() const
    {
        return std::string(ibisgw::core::checkRuleNames.nameOf(rule)) + " " + findingPath;
    }
};

} // namespace support
