#include "ibisgw_cli/StateCommands.h"

#include "ibisgw/adapters/DataFolder.h"
#include "ibisgw_cli/Invocation.h"

namespace ibisgw_cli {

using namespace ibisgw;

namespace {

template <typename ReadFunction> ExitStatus printFolder(const Invocation& invocation, ReadFunction read)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<ExitStatus> {
            BOOST_LEAF_AUTO(description, read(invocation.arguments.front()));
            if (!description.value("exists", false))
                return invocation.fail(ExitStatus::Failed, "not_found",
                    "'" + invocation.arguments.front() + "' holds no state of a controller; check data_folder");
            invocation.printJson(description);
            return ExitStatus::Ok;
        },
        [&](const core::Error& error) {
            return invocation.fail(ExitStatus::Failed, std::string(core::nameOf(error.kind)), error.message);
        },
        [&] { return invocation.fail(ExitStatus::Failed, "io_failed", "the data folder cannot be read"); });
}

} // namespace

ExitStatus runStateVerify(const Invocation& invocation)
{
    return printFolder(invocation, adapters::verifyDataFolder);
}

ExitStatus runStateDump(const Invocation& invocation)
{
    return printFolder(invocation, adapters::dumpDataFolder);
}

} // namespace ibisgw_cli
