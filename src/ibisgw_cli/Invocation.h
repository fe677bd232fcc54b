#pragma once

#include "ibisgw_cli/ApiClient.h"
#include "ibisgw_cli/ExitStatus.h"
#include "ibisgw_cli/Output.h"

#include <iosfwd>
#include <optional>
#include <string>
#include <vector>

namespace ibisgw_cli {

// Parsed command line of one command and where its output goes.
struct Invocation {
    // Words after the command, such as a file name.
    std::vector<std::string> words;
    std::string api;
    std::string tokenFile;
    OutputForm form { OutputForm::Table };
    std::optional<std::uint64_t> base;
    std::string submission;
    std::uint64_t limit { 50 };
    std::string caller;
    std::string service;
    std::ostream& out;
    std::ostream& err;

    // Reports wrong usage or another local error.
    ExitStatus fail(ExitStatus, const std::string& kind, const std::string& message) const;
    // Empty after an error has been reported in `status`.
    std::optional<ApiClient> connect(ExitStatus& status) const;
    // Calls the API; prints the whole answer as JSON, or one of its lists as a table.
    ExitStatus showList(
        const std::string& path, const std::string& list, const std::vector<std::string>& columns) const;
    // Prints an error answer and returns the exit status.
    ExitStatus reportFailure(const ApiReply&, ExitStatus) const;
    void printJson(const nlohmann::json&) const;
};

} // namespace ibisgw_cli
