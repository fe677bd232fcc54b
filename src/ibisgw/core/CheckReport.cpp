#include "ibisgw/core/CheckReport.h"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace ibisgw::core {

namespace {

std::string_view remedyOf(CheckRule difference)
{
    switch (difference) {
    case CheckRule::Removed:
        return "restore it if callers still use it";
    case CheckRule::Added:
        return "remove it if it is not intended";
    default:
        return "revert it if it is not intended";
    }
}

} // namespace

Severity severityOf(CheckRule rule)
{
    if (rule == CheckRule::Invalid)
        return Severity::Error;
    return rule < CheckRule::Removed ? Severity::Warning : Severity::Difference;
}

void CheckReport::add(CheckRule rule, std::string path, std::string message)
{
    m_findings.push_back({ rule, { std::move(path), std::move(message) } });
}

void CheckReport::addErrors(const std::vector<Problem>& problems)
{
    for (const auto& it : problems)
        add(CheckRule::Invalid, it.path, it.message);
}

void CheckReport::addDifference(CheckRule rule, std::string path, const std::string& what)
{
    add(rule, std::move(path), what + "; " + std::string(remedyOf(rule)));
}

std::vector<Finding> CheckReport::findings() const
{
    auto sorted = m_findings;
    std::ranges::stable_sort(sorted, {}, &Finding::rule);
    return sorted;
}

std::size_t CheckReport::count(Severity severity) const
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_findings, [&](const Finding& it) { return severityOf(it.rule) == severity; }));
}

nlohmann::json toJson(const CheckReport& report)
{
    auto findings = nlohmann::json::array();
    for (const auto& [rule, problem] : report.findings())
        findings.push_back({ { "severity", severityNames.nameOf(severityOf(rule)) },
            { "rule", checkRuleNames.nameOf(rule) }, { "path", problem.path }, { "message", problem.message } });
    return { { "errors", report.count(Severity::Error) }, { "warnings", report.count(Severity::Warning) },
        { "differences", report.count(Severity::Difference) }, { "findings", std::move(findings) } };
}

} // namespace ibisgw::core
