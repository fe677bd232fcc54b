#include "ibisgw_cli/ReadFile.h"

#include "ibisgw/adapters/InputFile.h"
#include "ibisgw_cli/Invocation.h"

namespace ibisgw_cli {

using namespace ibisgw;

std::optional<std::string> readFile(
    const Invocation& invocation, const std::string& file, const std::string& description)
{
    // Large enough for the log of a day.
    constexpr std::size_t maxBytes = std::size_t { 1 } << 30;
    return adapters::readInputFile(file, description, maxBytes, [&invocation](const core::Error& error) {
        invocation.fail(ExitStatus::InvalidInput, std::string(core::nameOf(error.kind)), error.message);
    });
}

} // namespace ibisgw_cli
