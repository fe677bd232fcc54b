#include "ibisgw_cli/ExplainCommand.h"

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

// Events of upstreams and of the process that may explain a failure lie within this time around it.
constexpr double relatedSeconds = 15.0;

// A batch of requests is written at least this often.
constexpr double batchSeconds = 2.0;

struct Line {
    json fields;
    double time { 0 };
    double steady { 0 };
    std::string process;
};

std::string textOf(const json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_string() ? found->get<std::string>() : std::string();
}

double numberOf(const json& fields, const char* name)
{
    const auto found = fields.find(name);
    return found != fields.end() && found->is_number() ? found->get<double>() : 0.0;
}

// A line that names many requests stands for a line for each. An entry is steady time, request, flow and upstream;
// a flow that was only placed has no request.
void addEntries(const Line& batch, std::vector<Line>& lines)
{
    constexpr std::size_t entryFields = 4;
    const auto entries = batch.fields.find("entries");
    if (entries == batch.fields.end() || !entries->is_array())
        return;
    for (const auto& it : *entries) {
        if (!it.is_array() || it.size() != entryFields || !it[0].is_number())
            continue;
        const bool isPlacement = it[1].is_string() && it[1].get_ref<const std::string&>().empty();
        Line line { { { "message", isPlacement ? "flow_placed" : "request_forwarded" }, { "flow", it[2] },
                        { "upstream", it[3] }, { "version", batch.fields.value("version", json()) } },
            0, it[0].get<double>(), batch.process };
        if (!isPlacement)
            line.fields["request"] = it[1];
        line.time = batch.time - (batch.steady - line.steady);
        lines.push_back(std::move(line));
    }
}

// A line may have a prefix of the tool that collected it.
void addLine(std::string_view text, std::vector<Line>& lines)
{
    const auto start = text.find('{');
    if (start == std::string_view::npos)
        return;
    auto fields = json::parse(text.substr(start), nullptr, false);
    if (!fields.is_object() || textOf(fields, "message").empty())
        return;
    Line line { std::move(fields) };
    line.time = numberOf(line.fields, "time");
    line.steady = numberOf(line.fields, "steady");
    line.process = textOf(line.fields, "process");
    addEntries(line, lines);
    lines.push_back(std::move(line));
}

void addLines(std::string_view text, std::vector<Line>& lines)
{
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        addLine(text.substr(0, end), lines);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

// The time of day may jump. Each process keeps the offset of its first line, so that its lines stay in the order of
// its steady clock; a restart begins a new offset.
void correctTimes(std::vector<Line>& lines)
{
    std::map<std::string, std::pair<double, double>> offsets; // offset and last steady time
    for (auto& it : lines) {
        auto [entry, isNew] = offsets.try_emplace(it.process, it.time - it.steady, it.steady);
        // Entries of a batch are a little older than the line before them. The steady clock of a VM that was without
        // power may go on from any value.
        const bool isRestart
            = textOf(it.fields, "message") == "starting" || it.steady < entry->second.second - batchSeconds;
        if (!isNew && isRestart)
            entry->second.first = it.time - it.steady;
        entry->second.second = it.steady;
        it.time = entry->second.first + it.steady;
    }
}

bool names(const Line& line, const std::set<std::string>& ids)
{
    return std::ranges::any_of(std::array { "request", "flow", "upstream" },
        [&](const char* it) { return ids.contains(textOf(line.fields, it)); });
}

bool isAboutUpstream(const Line& line)
{
    return textOf(line.fields, "message").starts_with("upstream_");
}

void collect(const Line& line, std::set<std::string>& ids, std::set<std::string>& upstreams)
{
    ids.insert(textOf(line.fields, "flow"));
    ids.insert(textOf(line.fields, "request"));
    upstreams.insert(textOf(line.fields, "upstream"));
    ids.erase("");
    upstreams.erase("");
}

// The lines of the request and its flow, and what the processes that handled them learned about their upstreams at
// the time.
std::vector<const Line*> select(const std::vector<Line>& lines, const std::string& id)
{
    std::set<std::string> ids { id };
    std::set<std::string> upstreams;
    // The second pass finds the lines of the flow that do not name the request.
    for (int pass = 0; pass < 2; ++pass) {
        for (const auto& it : lines) {
            if (!isAboutUpstream(it) && names(it, ids))
                collect(it, ids, upstreams);
        }
    }
    std::vector<const Line*> own;
    for (const auto& it : lines) {
        if ((!isAboutUpstream(it) && names(it, ids)) || textOf(it.fields, "upstream") == id)
            own.push_back(&it);
    }
    if (own.empty())
        return own;
    const auto [first, last] = std::ranges::minmax(own, {}, &Line::time);
    std::set<std::string> processes;
    for (const auto* it : own)
        processes.insert(it->process);
    std::vector<const Line*> selected = own;
    for (const auto& it : lines) {
        const bool isNear = it.time >= first->time - relatedSeconds && it.time <= last->time + relatedSeconds;
        if (isAboutUpstream(it) && isNear && processes.contains(it.process)
            && upstreams.contains(textOf(it.fields, "upstream")) && id != textOf(it.fields, "upstream"))
            selected.push_back(&it);
    }
    std::ranges::sort(selected, std::greater<> {}, &Line::time);
    return selected;
}

void print(const Line& line, std::ostream& out)
{
    auto rest = line.fields;
    for (const auto* it : { "time", "steady", "process", "message", "level" })
        rest.erase(it);
    out << std::to_string(line.time) << "  " << line.process << "  " << textOf(line.fields, "message") << "  "
        << rest.dump() << "\n";
}

} // namespace

ExitStatus runExplain(const Invocation& invocation)
{
    std::vector<Line> lines;
    for (std::size_t n = 1; n < invocation.words.size(); ++n) {
        const auto text = readFile(invocation, invocation.words[n], "the log");
        if (!text)
            return ExitStatus::InvalidInput;
        addLines(*text, lines);
    }
    correctTimes(lines);
    const auto selected = select(lines, invocation.words.front());
    if (selected.empty())
        return invocation.fail(ExitStatus::Failed, "not_found",
            "no line names '" + invocation.words.front() + "'; its events may have been left out, see left_out_before");
    if (invocation.form == OutputForm::Json) {
        auto all = json::array();
        for (const auto* it : selected)
            all.push_back(it->fields);
        invocation.printJson(all);
        return ExitStatus::Ok;
    }
    for (const auto* it : selected)
        print(*it, invocation.out);
    return ExitStatus::Ok;
}

} // namespace ibisgw_cli
