#include "ibisgw_cli/ExplainCommand.h"

#include "ibisgw/core/JsonText.h"
#include "ibisgw_cli/Invocation.h"
#include "ibisgw_cli/ReadFile.h"

#include <algorithm>
#include <array>
#include <map>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <string>
#include <vector>

namespace ibisgw_cli {

namespace {

using nlohmann::json;

// Lines about an upstream may explain a failure. They are selected from this long before the first line that names the
// request or flow until this long after the last one.
constexpr double upstreamWindowSeconds = 15.0;

// A process logs a batch of requests at least this often.
constexpr double maxBatchIntervalSeconds = 2.0;

// One line of a log. Times are in seconds.
struct LogLine {
    json fields;
    // Time of day, made consistent with the steady clock by correctTimes().
    double time { 0 };
    // Time of the process's monotonic clock.
    double steady { 0 };
    std::string process;
};

std::string textField(const json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double numberField(const json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_number() ? found->get<double>() : 0.0;
}

// Expands a batch line into a line for each of its entries. An entry is an array of steady time, request, flow and
// upstream; the request is empty if the flow was only placed.
void addBatchEntries(const LogLine& batch, std::vector<LogLine>& lines)
{
    constexpr std::size_t entryFields = 4;
    const auto entries = batch.fields.find("entries");
    if (entries == batch.fields.end() || !entries->is_array())
        return;
    for (const auto& it : *entries) {
        if (!it.is_array() || it.size() != entryFields || !it[0].is_number())
            continue;
        const bool isPlacement = it[1].is_string() && it[1].get_ref<const std::string&>().empty();
        LogLine line { { { "message", isPlacement ? "flow_placed" : "request_forwarded" }, { "flow", it[2] },
                           { "upstream", it[3] }, { "version", batch.fields.value("version", json()) } },
            0, it[0].get<double>(), batch.process };
        if (!isPlacement)
            line.fields["request"] = it[1];
        line.time = batch.time - (batch.steady - line.steady);
        lines.push_back(std::move(line));
    }
}

// Parses a line. Text before the JSON object is skipped, as log collectors add a prefix; lines without a message are
// ignored.
void addLine(std::string_view text, std::vector<LogLine>& lines)
{
    const auto start = text.find('{');
    if (start == std::string_view::npos)
        return;
    auto fields = json::parse(text.substr(start), nullptr, false);
    if (!fields.is_object() || textField(fields, "message").empty())
        return;
    LogLine line { std::move(fields) };
    line.time = numberField(line.fields, "time");
    line.steady = numberField(line.fields, "steady");
    line.process = textField(line.fields, "process");
    addBatchEntries(line, lines);
    lines.push_back(std::move(line));
}

void addLines(std::string_view text, std::vector<LogLine>& lines)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        addLine(text.substr(0, end), lines);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

// Replaces the time of day, which may jump, by the steady time plus an offset for each process, so that the lines of a
// process stay in the order of its steady clock. The offset is that of the first line after each start of the process.
void correctTimes(std::vector<LogLine>& lines)
{
    std::map<std::string, std::pair<double, double>> offsets; // by process: offset, last steady time
    for (auto& it : lines) {
        auto [entry, isNew] = offsets.try_emplace(it.process, it.time - it.steady, it.steady);
        // After a power loss the steady clock of a VM may continue from any value. A small step back is no restart, as
        // the entries of a batch are a little older than the line before them.
        const bool isRestart = textField(it.fields, "message") == "starting"
            || it.steady < entry->second.second - maxBatchIntervalSeconds;
        if (!isNew && isRestart)
            entry->second.first = it.time - it.steady;
        entry->second.second = it.steady;
        it.time = entry->second.first + it.steady;
    }
}

bool namesAny(const LogLine& line, const std::set<std::string>& ids)
{
    return std::ranges::any_of(std::array { "request", "flow", "upstream" },
        [&](const char* it) { return ids.contains(textField(line.fields, it)); });
}

bool isAboutUpstream(const LogLine& line)
{
    return textField(line.fields, "message").starts_with("upstream_");
}

void collectIds(const LogLine& line, std::set<std::string>& ids, std::set<std::string>& upstreams)
{
    ids.insert(textField(line.fields, "flow"));
    ids.insert(textField(line.fields, "request"));
    upstreams.insert(textField(line.fields, "upstream"));
    upstreams.insert(textField(line.fields, "second_upstream"));
    ids.erase("");
    upstreams.erase("");
}

// Selects, newest first, the lines that name the identifier or a flow or request that is logged together with it, and
// the lines about their upstreams that the same processes logged around that time.
std::vector<const LogLine*> selectLines(const std::vector<LogLine>& lines, const std::string& id)
{
    std::set<std::string> ids { id };
    std::set<std::string> upstreams;
    // The second pass finds lines that name the flow but not the request.
    for (int pass = 0; pass < 2; ++pass) {
        for (const auto& it : lines) {
            if (!isAboutUpstream(it) && namesAny(it, ids))
                collectIds(it, ids, upstreams);
        }
    }
    std::vector<const LogLine*> namingLines;
    for (const auto& it : lines) {
        if ((!isAboutUpstream(it) && namesAny(it, ids)) || textField(it.fields, "upstream") == id)
            namingLines.push_back(&it);
    }
    if (namingLines.empty())
        return namingLines;
    const auto [first, last] = std::ranges::minmax(namingLines, {}, &LogLine::time);
    std::set<std::string> processes;
    for (const auto* it : namingLines)
        processes.insert(it->process);
    std::vector<const LogLine*> selected = namingLines;
    for (const auto& it : lines) {
        const bool isNear
            = it.time >= first->time - upstreamWindowSeconds && it.time <= last->time + upstreamWindowSeconds;
        if (isAboutUpstream(it) && isNear && processes.contains(it.process)
            && upstreams.contains(textField(it.fields, "upstream")) && id != textField(it.fields, "upstream"))
            selected.push_back(&it);
    }
    std::ranges::sort(selected, std::greater<> {}, &LogLine::time);
    return selected;
}

void printLine(const LogLine& line, std::ostream& out)
{
    auto rest = line.fields;
    for (const auto* it : { "time", "steady", "process", "message", "level" })
        rest.erase(it);
    out << std::to_string(line.time) << "  " << line.process << "  " << textField(line.fields, "message") << "  "
        << ibisgw::core::formatJson(rest) << "\n";
}

} // namespace

ExitStatus runExplain(const Invocation& invocation)
{
    std::vector<LogLine> lines;
    for (std::size_t n = 1; n < invocation.arguments.size(); ++n) {
        const auto text = readFile(invocation, invocation.arguments[n], "the log");
        if (!text)
            return ExitStatus::InvalidInput;
        addLines(*text, lines);
    }
    correctTimes(lines);
    const auto selected = selectLines(lines, invocation.arguments.front());
    if (selected.empty())
        return invocation.fail(ExitStatus::Failed, "not_found",
            "no line names '" + invocation.arguments.front()
                + "'; its events may have been left out, see left_out_before");
    if (invocation.format == OutputFormat::Json) {
        auto all = json::array();
        for (const auto* it : selected)
            all.push_back(it->fields);
        invocation.printJson(all);
        return ExitStatus::Ok;
    }
    for (const auto* it : selected)
        printLine(*it, invocation.out);
    return ExitStatus::Ok;
}

} // namespace ibisgw_cli
