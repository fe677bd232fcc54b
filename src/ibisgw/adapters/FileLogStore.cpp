#include "ibisgw/adapters/FileLogStore.h"

#include "ibisgw/adapters/detail/DataFolderContents.h"
#include "ibisgw/adapters/detail/DurableFile.h"
#include "ibisgw/adapters/detail/LogRecord.h"
#include "ibisgw/adapters/detail/RaftJson.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace ibisgw::adapters {

using namespace configuration;

namespace {

constexpr auto lockFileName = "lock";

std::string entryRecord(LogIndex index, const LogEntry& entry)
{
    return detail::encodeRecord(detail::RecordType::Entry, detail::writeCbor({ index, detail::toJson(entry) }));
}

std::string voteRecord(const VoteState& vote)
{
    return detail::encodeRecord(detail::RecordType::Vote, detail::writeCbor({ vote.term, vote.votedFor.value }));
}

std::string commitRecord(LogIndex index)
{
    return detail::encodeRecord(detail::RecordType::Commit, detail::writeCbor(nlohmann::json::array({ index })));
}

} // namespace

core::Result<std::unique_ptr<FileLogStore>> FileLogStore::open(const std::string& folder, core::RandomSource& random)
{
    std::error_code ec;
    std::filesystem::create_directories(folder, ec);
    const auto file = folder + "/" + lockFileName;
    const int lock = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, detail::privateFileMode);
    if (lock < 0)
        return detail::ioFailure(file, "open", errno);
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock);
        return core::fail(core::ErrorKind::Unavailable,
            "data folder '" + folder + "' is used by another process; stop it or set another data_folder");
    }
    return std::unique_ptr<FileLogStore>(new FileLogStore(folder, lock, random));
}

FileLogStore::FileLogStore(std::string folder, int lock, core::RandomSource& random)
    : m_folder(std::move(folder))
    , m_lockDescriptor(lock)
    , m_random(random)
{
}

FileLogStore::~FileLogStore()
{
    if (m_logDescriptor >= 0)
        ::close(m_logDescriptor);
    ::close(m_lockDescriptor);
}

core::Result<void> FileLogStore::appendEntries(LogIndex first, std::span<const LogEntry> entries)
{
    BOOST_LEAF_CHECK(checkNotFailed());
    for (const auto& it : entries) {
        m_entries.push_back(entryRecord(first++, it));
        m_pending += m_entries.back();
    }
    return {};
}

core::Result<void> FileLogStore::truncateFrom(LogIndex index)
{
    BOOST_LEAF_CHECK(checkNotFailed());
    while (!m_entries.empty() && m_firstIndex + m_entries.size() > index)
        m_entries.pop_back();
    m_pending
        += detail::encodeRecord(detail::RecordType::Truncation, detail::writeCbor(nlohmann::json::array({ index })));
    return {};
}

core::Result<void> FileLogStore::saveVote(const VoteState& vote)
{
    BOOST_LEAF_CHECK(checkNotFailed());
    m_vote = vote;
    m_pending += voteRecord(vote);
    return {};
}

core::Result<void> FileLogStore::saveCommit(LogIndex index)
{
    BOOST_LEAF_CHECK(checkNotFailed());
    m_commitIndex = index;
    m_pending += commitRecord(index);
    return {};
}

core::Result<void> FileLogStore::saveSnapshot(const Snapshot& snapshot)
{
    // Earlier truncations must be durable before the snapshot: otherwise, after a crash, entries that
    // were truncated as conflicting could follow the snapshot.
    BOOST_LEAF_CHECK(sync());
    m_failed = true;
    BOOST_LEAF_CHECK(detail::replaceFile(m_folder, detail::snapshotFileName,
        detail::encodeRecord(detail::RecordType::Snapshot, detail::writeCbor(detail::toJson(snapshot)))));
    while (!m_entries.empty() && m_firstIndex <= snapshot.index) {
        m_entries.pop_front();
        ++m_firstIndex;
    }
    if (m_entries.empty())
        m_firstIndex = snapshot.index + 1;
    BOOST_LEAF_CHECK(replaceLog());
    m_failed = false;
    return {};
}

core::Result<void> FileLogStore::sync()
{
    BOOST_LEAF_CHECK(checkNotFailed());
    m_failed = true;
    BOOST_LEAF_CHECK(writePending());
    const auto startedAt = std::chrono::steady_clock::now();
    if (::fdatasync(m_logDescriptor) != 0)
        return detail::ioFailure(m_folder + "/" + detail::logFileName, "sync", errno);
    m_failed = false;
    if (m_syncedHandler)
        m_syncedHandler(std::chrono::duration_cast<core::Duration>(std::chrono::steady_clock::now() - startedAt));
    return {};
}

// Rewrites the log even if nothing has changed: after a failed sync of an earlier process, pages may
// still be readable from the page cache without being on the disk.
core::Result<StoredState> FileLogStore::load()
{
    m_failed = true;
    m_pending.clear();
    BOOST_LEAF_AUTO(contents, detail::readDataFolder(m_folder));
    auto& state = contents.state;
    if (!contents.exists)
        state.disk = m_random.next() | 1;
    ++state.generation;
    state.startNonce = m_random.next() | 1;
    m_disk = state.disk;
    m_generation = state.generation;
    m_startNonce = state.startNonce;
    m_vote = state.vote;
    m_commitIndex = state.commitIndex;
    m_firstIndex = state.snapshot.index + 1;
    m_entries.clear();
    for (const auto& it : state.entries)
        m_entries.push_back(entryRecord(m_firstIndex + m_entries.size(), it));
    if (state.snapshot.index > 0) {
        BOOST_LEAF_CHECK(detail::replaceFile(m_folder, detail::snapshotFileName,
            detail::encodeRecord(detail::RecordType::Snapshot, detail::writeCbor(detail::toJson(state.snapshot)))));
    }
    BOOST_LEAF_CHECK(replaceLog());
    m_failed = false;
    return std::move(state);
}

core::Result<void> FileLogStore::discard()
{
    m_failed = true;
    m_pending.clear();
    // Removes the snapshot first, because a snapshot without a log is reported as damage after a crash in between.
    for (const auto* name : { detail::snapshotFileName, detail::logFileName }) {
        const auto file = m_folder + "/" + name;
        if (::unlink(file.c_str()) != 0 && errno != ENOENT)
            return detail::ioFailure(file, "removal", errno);
        BOOST_LEAF_CHECK(detail::syncFolder(m_folder));
    }
    return {};
}

core::Result<void> FileLogStore::checkNotFailed() const
{
    if (m_failed)
        return core::fail(core::ErrorKind::IoFailed,
            "data folder '" + m_folder
                + "' had a failed write; free space or replace the disk and restart the controller");
    return {};
}

core::Result<void> FileLogStore::replaceLog()
{
    auto bytes
        = detail::encodeRecord(detail::RecordType::Identity, detail::writeCbor({ m_disk, m_generation, m_startNonce }));
    bytes += voteRecord(m_vote);
    if (m_commitIndex > 0)
        bytes += commitRecord(m_commitIndex);
    for (const auto& it : m_entries)
        bytes += it;
    m_pending.clear();
    BOOST_LEAF_CHECK(detail::replaceFile(m_folder, detail::logFileName, bytes));
    if (m_logDescriptor >= 0)
        ::close(m_logDescriptor);
    const auto file = m_folder + "/" + detail::logFileName;
    m_logDescriptor = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (m_logDescriptor < 0)
        return detail::ioFailure(file, "open", errno);
    return {};
}

core::Result<void> FileLogStore::writePending()
{
    const auto bytes = std::exchange(m_pending, {});
    return detail::writeAll(m_logDescriptor, m_folder + "/" + detail::logFileName, bytes);
}

} // namespace ibisgw::adapters
