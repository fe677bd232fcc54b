#include "ibisgw_cli/StateCommands.h"

#include "ibisgw/adapters/DataFolder.h"
#include "ibisgw_cli/Invocation.h"

namespace ibisgw_cli {

using namespace ibisgw;

namespace {

template <typename Reader> ExitStatus readFolder(const Invocation& invocation, Reader reader)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<ExitStatus> {
            BOOST_LEAF_AUTO(description, reader(invocation.words.front()));
            if (!description.value("exists", false))
                return invocation.fail(ExitStatus::Failed, "not_found",
                    "'" + invocation.words.front() + "' holds no state of a controller; check data_folder");
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
    return readFolder(invocation, adapters::verifyDataFolder);
}

ExitStatus runStateDump(const Invocation& invocation)
{
    return readFolder(invocation, adapters::dumpDataFolder);
}

} // namespace ibisgw_cli
