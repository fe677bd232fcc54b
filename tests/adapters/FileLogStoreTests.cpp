#include "ibisgw/adapters/DataFolder.h"
#include "ibisgw/adapters/FileLogStore.h"
#include "ibisgw/adapters/detail/LogRecord.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/TemporaryFolder.h"

#include <csignal>
#include <doctest/doctest.h>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <optional>
#include <sys/resource.h>

using namespace ibisgw;
using namespace ibisgw::configuration;

namespace {

template <typename Function> std::optional<core::Error> errorOf(Function function)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<std::optional<core::Error>> {
            BOOST_LEAF_CHECK(function());
            return std::optional<core::Error> {};
        },
        [](const core::Error& error) { return std::optional(error); }, [] { return std::optional(core::Error {}); });
}

std::string readFile(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    return { std::istreambuf_iterator<char>(in), {} };
}

void writeFile(const std::string& file, const std::string& bytes)
{
    std::ofstream(file, std::ios::binary | std::ios::trunc) << bytes;
}

LogEntry command(Term term, const std::string& text)
{
    return { term, EntryKind::Command, text, {} };
}

struct Folder {
    support::TemporaryFolder temporary;
    std::string path { temporary.path() + "/data" };
    std::string log { path + "/log" };
    core::PcgRandomSource random { 1 };

    std::unique_ptr<adapters::FileLogStore> open()
    {
        auto store = adapters::FileLogStore::open(path, random);
        REQUIRE(store);
        return std::move(*store);
    }
    // Opens the folder with a new store, as after a restart, and loads it.
    StoredState reload()
    {
        const auto store = open();
        auto state = store->load();
        REQUIRE(state);
        return std::move(*state);
    }
    std::optional<core::Error> reloadError()
    {
        const auto store = open();
        return errorOf([&] { return store->load(); });
    }
};

// Stores three entries and a vote, and replaces the third entry by one of another term.
void fill(Folder& folder)
{
    const auto store = folder.open();
    REQUIRE(store->load());
    const std::vector<LogEntry> entries { command(1, "one"), command(1, "two"), command(1, "three") };
    REQUIRE(store->appendEntries(1, entries));
    REQUIRE(store->saveVote({ 2, { 9 } }));
    REQUIRE(store->truncateFrom(3));
    const std::vector<LogEntry> replacement { command(2, "other three") };
    REQUIRE(store->appendEntries(3, replacement));
    REQUIRE(store->sync());
}

} // namespace

TEST_SUITE("adapters")
{
    TEST_CASE("a restart loads the state that was synced")
    {
        Folder folder;
        fill(folder);
        const auto state = folder.reload();
        CHECK(state.vote == VoteState { 2, { 9 } });
        REQUIRE(state.entries.size() == 3);
        CHECK(state.entries[1].command == "two");
        CHECK(state.entries[2] == command(2, "other three"));

        SUBCASE("the handler is called with the duration of each sync, so that a slow disk is detected")
        {
            auto store = folder.open();
            unsigned syncs = 0;
            store->onSynced([&](core::Duration it) { syncs += it >= core::Duration::zero() ? 1 : 0; });
            REQUIRE(store->load());
            const auto before = syncs;
            REQUIRE(store->sync());
            CHECK(syncs == before + 1);
        }
        SUBCASE("the identity stays and every start increments the generation, so that an older copy of the folder is "
                "detected")
        {
            const auto next = folder.reload();
            CHECK(next.disk == state.disk);
            CHECK(next.generation == state.generation + 1);
            CHECK(next.startNonce != state.startNonce);
        }
        SUBCASE("an emptied folder gets another identity, so that a vote cast before is not counted for it")
        {
            std::filesystem::remove_all(folder.path);
            CHECK(folder.reload().disk != state.disk);
        }
        SUBCASE("a snapshot replaces the entries that it covers")
        {
            {
                const auto store = folder.open();
                REQUIRE(store->load());
                REQUIRE(store->saveSnapshot({ 2, 1, {}, "state" }));
            }
            const auto after = folder.reload();
            CHECK(after.snapshot.state == "state");
            REQUIRE(after.entries.size() == 1);
            CHECK(after.entries[0] == command(2, "other three"));
        }
        SUBCASE("a crash between writing the snapshot and shortening the log loses no entry")
        {
            const auto longLog = readFile(folder.log);
            {
                const auto store = folder.open();
                REQUIRE(store->load());
                REQUIRE(store->saveSnapshot({ 2, 1, {}, "state" }));
            }
            writeFile(folder.log, longLog);
            const auto after = folder.reload();
            REQUIRE(after.entries.size() == 1);
            CHECK(after.entries[0] == command(2, "other three"));
        }
        SUBCASE("a second process cannot open the folder")
        {
            const auto store = folder.open();
            const auto error = errorOf([&] { return adapters::FileLogStore::open(folder.path, folder.random); });
            REQUIRE(error);
            CHECK(error->kind == core::ErrorKind::Unavailable);
        }
    }

    TEST_CASE("loading truncates an interrupted write, and fails with the remedy on any other damage")
    {
        Folder folder;
        fill(folder);
        folder.reload();
        const auto bytes = readFile(folder.log);
        const auto tail = adapters::detail::encodeRecord(adapters::detail::RecordType::Vote, "payload");

        SUBCASE("every length of an incomplete last record")
        {
            for (std::size_t n = 1; n < tail.size(); ++n) {
                writeFile(folder.log, bytes + tail.substr(0, n));
                const auto report = adapters::verifyDataFolder(folder.path);
                REQUIRE(report);
                CHECK(report->at("torn_bytes") == n);
                CHECK(folder.reload().entries.size() == 3);
            }
        }
        SUBCASE("a tail of zeros, as after a page that was not written")
        {
            writeFile(folder.log, bytes + std::string(4096, '\0'));
            CHECK(folder.reload().entries.size() == 3);
        }
        SUBCASE("any altered byte before the last record")
        {
            adapters::detail::LogRecordReader reader(bytes);
            adapters::detail::LogRecord record;
            std::size_t lastStart = 0;
            while (reader.position() < bytes.size()) {
                lastStart = reader.position();
                REQUIRE(reader.next(record) == adapters::detail::RecordStatus::Valid);
            }
            for (std::size_t n = 0; n < lastStart; ++n) {
                auto damaged = bytes;
                damaged[n] = static_cast<char>(damaged[n] ^ 0x10);
                writeFile(folder.log, damaged);
                const auto error = folder.reloadError();
                REQUIRE(error);
                CHECK(error->kind == core::ErrorKind::DataCorrupted);
                CHECK(error->message.find("rejoins as a learner") != std::string::npos);
            }
        }
        SUBCASE("a data folder with one missing or damaged file")
        {
            {
                const auto store = folder.open();
                REQUIRE(store->load());
                REQUIRE(store->saveSnapshot({ 2, 1, {}, "state" }));
            }
            SUBCASE("the log is missing")
            {
                std::filesystem::remove(folder.log);
            }
            SUBCASE("the snapshot is missing")
            {
                std::filesystem::remove(folder.path + "/snapshot");
            }
            SUBCASE("the snapshot is damaged")
            {
                auto damaged = readFile(folder.path + "/snapshot");
                damaged.back() = static_cast<char>(damaged.back() ^ 1);
                writeFile(folder.path + "/snapshot", damaged);
            }
            const auto error = folder.reloadError();
            REQUIRE(error);
            CHECK(error->kind == core::ErrorKind::DataCorrupted);
        }
    }

    TEST_CASE("after a write to a full disk, all operations fail until the store is loaded again")
    {
        // Guards against a sync that succeeds although an earlier failed write has left out entries.
        Folder folder;
        fill(folder);
        const auto store = folder.open();
        REQUIRE(store->load());
        rlimit before {};
        REQUIRE(::getrlimit(RLIMIT_FSIZE, &before) == 0);
        auto* const handler = std::signal(SIGXFSZ, SIG_IGN);
        const rlimit full { std::filesystem::file_size(folder.log) + 10, before.rlim_max };
        REQUIRE(::setrlimit(RLIMIT_FSIZE, &full) == 0);
        const std::vector<LogEntry> entries { command(2, std::string(100, 'x')) };
        const auto appended = errorOf([&] { return store->appendEntries(4, entries); });
        const auto error = errorOf([&] { return store->sync(); });
        ::setrlimit(RLIMIT_FSIZE, &before);
        std::signal(SIGXFSZ, handler);
        CHECK_FALSE(appended);
        REQUIRE(error);
        CHECK(error->kind == core::ErrorKind::ResourceExhausted);
        CHECK(errorOf([&] { return store->sync(); }));
        CHECK(errorOf([&] { return store->saveVote({ 3, { 1 } }); }));
        const auto state = store->load();
        REQUIRE(state);
        CHECK(state->entries.size() == 3);
    }

    TEST_CASE("dumping a data folder does not change it")
    {
        Folder folder;
        fill(folder);
        const auto before = readFile(folder.log);
        const auto dump = adapters::dumpDataFolder(folder.path);
        REQUIRE(dump);
        CHECK(dump->at("entries").size() == 3);
        CHECK(dump->at("term") == 2);
        CHECK(readFile(folder.log) == before);
    }
}
