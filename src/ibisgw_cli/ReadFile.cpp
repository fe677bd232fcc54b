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
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<std::optional<std::string>> {
            BOOST_LEAF_AUTO(text, adapters::readInputFile(file, description, maxBytes));
            return std::optional<std::string>(std::move(text));
        },
        [&](const core::Error& error) -> std::optional<std::string> {
            invocation.fail(ExitStatus::InvalidInput, std::string(core::nameOf(error.kind)), error.message);
            return std::nullopt;
        },
        []() -> std::optional<std::string> { return std::nullopt; });
}

} // namespace ibisgw_cli
