#include "ibisgw/adapters/CheckOutput.h"

#include "ibisgw/adapters/InputFile.h"
#include "ibisgw/core/JsonText.h"

#include <nlohmann/json.hpp>
#include <ostream>

namespace ibisgw::adapters {

namespace {

constexpr int exitClean = 0;
constexpr int exitWarnings = 1;
constexpr int exitErrors = 2;

// Bounds of the text for damaged files; the JSON form is complete.
constexpr std::size_t maxLines = 200;
constexpr std::size_t maxFieldBytes = 500;

std::string fieldOf(const nlohmann::json& finding, const char* member)
{
    const auto it = finding.find(member);
    if (it == finding.end() || !it->is_string())
        return {};
    auto text = it->get<std::string>();
    if (text.size() > maxFieldBytes)
        text = text.substr(0, maxFieldBytes) + "...";
    return core::printableText(text);
}

bool hasAny(const nlohmann::json& report, const char* severity)
{
    const auto it = report.find(severity);
    return it != report.end() && it->is_number() && *it > 0;
}

std::string lineOf(const nlohmann::json& finding)
{
    const auto path = fieldOf(finding, "path");
    return fieldOf(finding, "severity") + ": " + (path.empty() ? "" : path + ": ") + fieldOf(finding, "message") + " ["
        + fieldOf(finding, "rule") + "]\n";
}

void printFindings(const nlohmann::json& findings, const std::string& file, std::ostream& out)
{
    std::size_t lines = 0;
    for (const auto& it : findings) {
        if (lines++ == maxLines) {
            out << file << ": " << findings.size() - maxLines << " more findings; list all with --json\n";
            return;
        }
        out << file << ": " << lineOf(it);
    }
}

} // namespace

std::optional<std::string> readCheckedFile(const std::string& file, std::size_t maxBytes, core::CheckReport& report)
{
    return readInputFile(file, "the file", maxBytes,
        [&report](const core::Error& error) { report.add(core::CheckRule::Invalid, "", error.message); });
}

void addBaseError(const std::string& file, const std::vector<core::Problem>& problems, core::CheckReport& report)
{
    const auto first = problems.empty() ? core::Problem {} : problems.front();
    report.add(core::CheckRule::Invalid, "",
        "can't be compared with the invalid file '" + file + "': " + first.path + (first.path.empty() ? "" : " ")
            + first.message);
}

int printCheckReport(const nlohmann::json& report, const CheckOptions& options, std::ostream& out, std::ostream& err)
{
    const bool hasErrors = hasAny(report, "errors");
    if (options.isJson) {
        out << core::formatJson(report, 2) << "\n";
    } else {
        const auto file = core::printableText(options.file);
        printFindings(report.value("findings", nlohmann::json::array()), file, hasErrors ? err : out);
        if (!hasErrors)
            out << file << " is valid\n";
    }
    if (hasErrors)
        return exitErrors;
    return hasAny(report, "warnings") ? exitWarnings : exitClean;
}

} // namespace ibisgw::adapters
