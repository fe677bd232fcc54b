#include "ibisgw_cli/Commands.h"

#include "ibisgw_cli/ConfigCommands.h"
#include "ibisgw_cli/ExplainCommand.h"
#include "ibisgw_cli/Invocation.h"
#include "ibisgw_cli/OperationCommands.h"
#include "ibisgw_cli/StateCommands.h"
#include "ibisgw_cli/ZoneCommands.h"

#include <algorithm>
#include <cxxopts.hpp>
#include <iomanip>
#include <ostream>

namespace ibisgw_cli {

namespace {

constexpr const char* defaultApi = "http://127.0.0.1:8600";

struct Command {
    // One or two words, such as "config check".
    std::string name;
    std::string arguments;
    std::size_t minArguments;
    std::size_t maxArguments;
    std::string summary;
    std::string example;
    ExitStatus (*run)(const Invocation&);
};

const std::vector<Command>& commands()
{
    static const std::vector<Command> table {
        { "config check", "FILE [--against current|FILE]", 1, 1,
            "Check a document and compare it; works offline except with current",
            "ibisgw config check document.json --against current", runConfigCheck },
        { "config submit", "FILE --base N [--submission ID]", 1, 1,
            "Submit a document that was made from revision N; prints the identifier first",
            "ibisgw config submit document.json --base 41", runConfigSubmit },
        { "config outcome", "ID", 1, 1, "Show the outcome of a submission",
            "ibisgw config outcome 5f0c66a1b2c3d4e5f60718293a4b5c6d", runConfigOutcome },
        { "config show", "[REVISION]", 0, 1, "Show the document in force or at a revision",
            "ibisgw config show > document.json", runConfigShow },
        { "config history", "[--limit N]", 0, 0, "List accepted revisions, the newest first",
            "ibisgw config history --limit 10", runConfigHistory },
        { "config diff", "FROM TO", 2, 2, "Show the changes between two revisions as a JSON patch (RFC 6902)",
            "ibisgw config diff 40 41 --output json", runConfigDiff },
        { "status", "", 0, 0, "Show the revision in force, the members and the leader", "ibisgw status", runStatus },
        { "upstreams", "", 0, 0, "List the known upstreams", "ibisgw upstreams --output json", runUpstreams },
        { "flows", "[--caller ADDRESS --service ADDRESS]", 0, 0, "Count open flows, or find the upstream of one flow",
            "ibisgw flows --caller 192.0.2.7:40112 --service 10.1.0.4:443", runFlows },
        { "drain upstream", "ADDRESS", 1, 1, "Place no new flows on an upstream; open flows continue",
            "ibisgw drain upstream 10.1.2.3:8080", runDrainUpstream },
        { "drain balancer", "NAME", 1, 1, "Shut a balancer down gracefully", "ibisgw drain balancer balancer-3",
            runDrainBalancer },
        { "zone evacuate", "ZONE", 1, 1, "Place no new flows in an availability zone; open flows continue",
            "ibisgw zone evacuate bern", runZoneEvacuate },
        { "zone restore", "ZONE", 1, 1, "Place new flows in an evacuated zone again", "ibisgw zone restore bern",
            runZoneRestore },
        { "zone list", "", 0, 0, "List the availability zones and which are evacuated", "ibisgw zone list --json",
            runZoneList },
        { "trace", "ID", 1, 1, "Show the spans of one trace", "ibisgw trace 4bf92f3577b34da6a3ce929d0e0e4736",
            runTrace },
        { "explain", "ID FILE...", 2, 1000,
            "Show the log lines about a request, flow or upstream, the newest first; works offline",
            "ibisgw explain 48aabe1b56d02aba balancer-*.log", runExplain },
        { "state verify", "DIR", 1, 1, "Check the data folder of a stopped controller; works offline",
            "ibisgw state verify /var/lib/ibisgw", runStateVerify },
        { "state dump", "DIR", 1, 1, "Print the content of the data folder of a stopped controller",
            "ibisgw state dump /var/lib/ibisgw", runStateDump },
    };
    return table;
}

cxxopts::Options makeOptions()
{
    cxxopts::Options options("ibisgw");
    auto add = options.add_options();
    add("api", "Address of the administration API", cxxopts::value<std::string>()->default_value(defaultApi), "URL");
    add("token-file", "File with the token; only its owner may have access",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("output", "table or json", cxxopts::value<std::string>()->default_value("table"), "FORM");
    add("json", "The same as --output json");
    add("base", "Revision that the document was made from", cxxopts::value<std::uint64_t>(), "N");
    add("against", "Document to compare with: a file, or current for the one in force",
        cxxopts::value<std::string>()->default_value(""), "FILE");
    add("submission", "Identifier of the submission; give the same one to repeat a submission safely",
        cxxopts::value<std::string>()->default_value(""), "ID");
    add("limit", "Number of revisions", cxxopts::value<std::uint64_t>()->default_value("50"), "N");
    add("caller", "Address and port of a flow's caller", cxxopts::value<std::string>()->default_value(""), "ADDRESS");
    add("service", "Service address of a flow", cxxopts::value<std::string>()->default_value(""), "ADDRESS");
    add("help", "Show help, also for one command");
    add("words", "", cxxopts::value<std::vector<std::string>>());
    options.parse_positional({ "words" });
    return options;
}

void printExitStatuses(std::ostream& out)
{
    out << "\nExit statuses: 0 ok, 1 failed, 2 invalid input, 3 conflict,\n"
           "4 unknown outcome (ask again with the printed identifier), 5 permission denied.\n"
           "config check: 0 clean, 1 warnings, 2 errors or not checked\n";
}

void printOverview(std::ostream& out)
{
    out << "Administers ibisgw, a layer-4 load balancer.\n\nUsage: ibisgw COMMAND [OPTIONS]\n\n";
    for (const auto& it : commands())
        out << "  " << std::left << std::setw(18) << it.name << it.summary << "\n";
    out << "\nOptions of all commands:\n"
           "  --api URL          administration API, by default "
        << defaultApi
        << "\n  --token-file FILE  file with the token; only its owner may have access\n"
           "  --output FORM      table or json\n"
           "  --json             the same as --output json\n"
           "  --help             show help, also for one command\n";
    printExitStatuses(out);
}

void printCommandHelp(std::ostream& out, const Command& command)
{
    out << command.summary << ".\n\nUsage: ibisgw " << command.name << (command.arguments.empty() ? "" : " ")
        << command.arguments << " [--api URL] [--token-file FILE] [--output table|json]\n\nExample:\n  "
        << command.example << "\n";
    printExitStatuses(out);
}

std::string joinWords(const std::vector<std::string>& words, std::size_t count)
{
    std::string text;
    for (std::size_t n = 0; n < std::min(count, words.size()); ++n)
        text.append(n ? " " : "").append(words[n]);
    return text;
}

// Finds the command that the first one or two words name, and removes these words; null when no command matches.
const Command* extractCommand(std::vector<std::string>& words)
{
    for (const std::size_t count : { 2, 1 }) {
        const auto it = std::ranges::find(commands(), joinWords(words, count), &Command::name);
        if (words.size() < count || it == commands().end())
            continue;
        words.erase(words.begin(), words.begin() + static_cast<std::ptrdiff_t>(count));
        return &*it;
    }
    return nullptr;
}

ExitStatus runParsedCommand(const cxxopts::ParseResult& parsed, std::ostream& out, std::ostream& err)
{
    std::vector<std::string> words;
    if (parsed.count("words"))
        words = parsed["words"].as<std::vector<std::string>>();
    const auto* command = extractCommand(words);
    if (parsed.count("help")) {
        if (command)
            printCommandHelp(out, *command);
        else
            printOverview(out);
        return ExitStatus::Ok;
    }
    if (!command) {
        err << (words.empty() ? "a command is missing" : "unknown command '" + joinWords(words, 2) + "'")
            << "; see ibisgw --help\n";
        return ExitStatus::InvalidInput;
    }
    const auto output = parsed.count("json") ? "json" : parsed["output"].as<std::string>();
    if (output != "table" && output != "json") {
        err << "--output must be table or json\n";
        return ExitStatus::InvalidInput;
    }
    if (words.size() < command->minArguments || words.size() > command->maxArguments) {
        err << "usage: ibisgw " << command->name << " " << command->arguments << "; see ibisgw " << command->name
            << " --help\n";
        return ExitStatus::InvalidInput;
    }
    Invocation invocation { .arguments = words,
        .api = parsed["api"].as<std::string>(),
        .tokenFile = parsed["token-file"].as<std::string>(),
        .format = output == "json" ? OutputFormat::Json : OutputFormat::Table,
        .base = std::nullopt,
        .against = parsed["against"].as<std::string>(),
        .submission = parsed["submission"].as<std::string>(),
        .limit = parsed["limit"].as<std::uint64_t>(),
        .caller = parsed["caller"].as<std::string>(),
        .service = parsed["service"].as<std::string>(),
        .out = out,
        .err = err };
    if (parsed.count("base"))
        invocation.base = parsed["base"].as<std::uint64_t>();
    return command->run(invocation);
}

} // namespace

ExitStatus runCommandLine(const std::vector<std::string>& arguments, std::ostream& out, std::ostream& err)
{
    std::vector<const char*> argv { "ibisgw" };
    for (const auto& it : arguments)
        argv.push_back(it.c_str());
    try {
        auto options = makeOptions();
        return runParsedCommand(options.parse(static_cast<int>(argv.size()), argv.data()), out, err);
    } catch (const cxxopts::exceptions::exception& exception) {
        err << exception.what() << "; see ibisgw --help\n";
        return ExitStatus::InvalidInput;
    }
}

} // namespace ibisgw_cli
