#include "ibisgw/adapters/FileLogStore.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw_cli/Commands.h"
#include "support/TemporaryFolder.h"

#include <doctest/doctest.h>

#include <fstream>
#include <sstream>

using namespace ibisgw;
using ibisgw_cli::ExitStatus;

namespace {

ExitStatus runState(const std::string& command, const std::string& folder, std::string& output)
{
    std::ostringstream out;
    std::ostringstream err;
    const auto status = ibisgw_cli::runCommandLine({ "state", command, folder }, out, err);
    output = out.str() + err.str();
    return status;
}

} // namespace

TEST_SUITE("cli")
{
    // Guards against damage to the data folder of a controller that an operator cannot diagnose offline.
    TEST_CASE("state verify and state dump read the data folder of a stopped controller")
    {
        const support::TemporaryFolder folder;
        std::string output;
        {
            core::PcgRandomSource random(1);
            const auto store = adapters::FileLogStore::open(folder.path(), random);
            REQUIRE(store);
            REQUIRE(store.value()->load());
            REQUIRE(store.value()->saveVote({}));
            REQUIRE(store.value()->sync());
        }
        SUBCASE("the content of an undamaged folder is printed")
        {
            CHECK(runState("verify", folder.path(), output) == ExitStatus::Ok);
            CHECK(runState("dump", folder.path(), output) == ExitStatus::Ok);
        }
        SUBCASE("a damaged folder is reported with a remedy")
        {
            std::fstream(folder.path() + "/log", std::ios::in | std::ios::out | std::ios::binary) << "damage";
            CHECK(runState("verify", folder.path(), output) == ExitStatus::Failed);
            CHECK(output.find("rejoins as a learner") != std::string::npos);
        }
        SUBCASE("a missing folder is reported")
        {
            CHECK(runState("verify", folder.path() + "/none", output) == ExitStatus::Failed);
            CHECK(output.find("check data_folder") != std::string::npos);
        }
    }
}
