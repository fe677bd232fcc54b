#pragma once

#include "ibisgw_cli/ApiClient.h"
#include "ibisgw_cli/ExitStatus.h"
#include "ibisgw_cli/Output.h"

#include <functional>
#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace ibisgw_cli {

// Parsed command line of one command, and the streams that its output goes to.
struct Invocation {
    // Positional arguments after the name of the command, such as a file name.
    std::vector<std::string> arguments;
    // URL of the administration API.
    std::string api;
    std::string tokenFile;
    OutputFormat format { OutputFormat::Table };
    // Revision that the document of a submission was made from.
    std::optional<std::uint64_t> base;
    // What to compare a document with: "current" or a file; empty for no comparison.
    std::string against;
    // Identifier of a submission; empty for a new one.
    std::string submission;
    // Number of revisions to list.
    std::uint64_t limit { 50 };
    // Addresses of a flow, with port.
    std::string caller;
    std::string service;
    std::ostream& out;
    std::ostream& err;

    // Prints an error that arose in this process, such as wrong usage, and returns the exit status.
    ExitStatus fail(ExitStatus, const std::string& kind, const std::string& message) const;
    // Creates a client with the token of the token file. Empty after an error has been printed; `status` then holds
    // the exit status.
    std::optional<ApiClient> connect(ExitStatus& status) const;
    // Gets `path` from the API. Empty after an error has been printed; `status` then holds the exit status.
    std::optional<nlohmann::json> get(const std::string& path, ExitStatus& status) const;
    // Gets `path` from the API and prints the whole answer as JSON, or its array `list` as a table.
    ExitStatus showList(
        const std::string& path, const std::string& list, const std::vector<std::string>& columns) const;
    // Posts an order without a body. It is done when the answer has the member `done`. Prints the answer as JSON, or
    // the text that `describe` makes of it.
    ExitStatus sendOrder(const std::string& path, const std::string& done,
        const std::function<std::string(const nlohmann::json&)>& describe) const;
    // Prints the error in an answer of the API and returns the exit status.
    ExitStatus reportFailure(const ApiReply&, ExitStatus) const;
    void printJson(const nlohmann::json&) const;
};

} // namespace ibisgw_cli
