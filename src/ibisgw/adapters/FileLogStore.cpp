#include "ibisgw/adapters/FileLogStore.h"

#include "ibisgw/adapters/detail/DataFolderContents.h"
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
constexpr mode_t fileMode = S_IRUSR | S_IWUSR;

boost::leaf::error_id ioFailure(const std::string& file, const std::string& operation, int number)
{
    const bool isFull = number == ENOSPC || number == EDQUOT || number == EFBIG;
    return core::fail(isFull ? core::ErrorKind::ResourceExhausted : core::ErrorKind::IoFailed,
        operation + " of '" + file + "' failed: " + std::strerror(number)
            + (isFull ? "; free space and restart the controller"
                      : "; check or replace the disk and restart the controller"));
}

core::Result<void> writeAll(int descriptor, const std::string& file, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::write(descriptor, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n <= 0)
            return ioFailure(file, "write", n < 0 ? errno : ENOSPC);
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return {};
}

core::Result<void> syncFolder(const std::string& folder)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return ioFailure(folder, "open", errno);
    const int number = ::fsync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    if (number != 0)
        return ioFailure(folder, "sync", number);
    return {};
}

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
    const int lock = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, fileMode);
    if (lock < 0)
        return ioFailure(file, "open", errno);
    if (::flock(lock, LOCK_EX | LOCK_NB) != 0) {
        ::close(lock);
        return core::fail(core::ErrorKind::Unavailable,
            "data folder '" + folder + "' is used by another process; stop it or set another data_folder");
    }
    return std::unique_ptr<FileLogStore>(new FileLogStore(folder, lock, random));
}

FileLogStore::FileLogStore(std::string folder, int lock, core::RandomSource& random)
    : m_folder(std::move(folder))
    , m_lock(lock)
    , m_random(random)
{
}

FileLogStore::~FileLogStore()
{
    if (m_log >= 0)
        ::close(m_log);
    ::close(m_lock);
}

core::Result<void> FileLogStore::appendEntries(LogIndex first, std::span<const LogEntry> entries)
{
    BOOST_LEAF_CHECK(refuseAfterFailure());
    for (const auto& it : entries) {
        m_entries.push_back(entryRecord(first++, it));
        m_pending += m_entries.back();
    }
    return {};
}

core::Result<void> FileLogStore::truncateFrom(LogIndex index)
{
    BOOST_LEAF_CHECK(refuseAfterFailure());
    while (!m_entries.empty() && m_firstIndex + m_entries.size() > index)
        m_entries.pop_back();
    m_pending
        += detail::encodeRecord(detail::RecordType::Truncation, detail::writeCbor(nlohmann::json::array({ index })));
    return {};
}

core::Result<void> FileLogStore::saveVote(const VoteState& vote)
{
    BOOST_LEAF_CHECK(refuseAfterFailure());
    m_vote = vote;
    m_pending += voteRecord(vote);
    return {};
}

core::Result<void> FileLogStore::saveCommit(LogIndex index)
{
    BOOST_LEAF_CHECK(refuseAfterFailure());
    m_commitIndex = index;
    m_pending += commitRecord(index);
    return {};
}

core::Result<void> FileLogStore::saveSnapshot(const Snapshot& snapshot)
{
    // A truncation before the snapshot must be durable first: otherwise entries of a replaced
    // history could follow the snapshot after a crash.
    BOOST_LEAF_CHECK(sync());
    m_failed = true;
    BOOST_LEAF_CHECK(replaceFile(detail::snapshotFileName,
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
    BOOST_LEAF_CHECK(refuseAfterFailure());
    m_failed = true;
    BOOST_LEAF_CHECK(writePending());
    if (::fdatasync(m_log) != 0)
        return ioFailure(m_folder + "/" + detail::logFileName, "sync", errno);
    m_failed = false;
    return {};
}

// Writes the log anew even if nothing has changed: pages that an earlier process failed to sync
// may be readable without being on the disk.
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
        BOOST_LEAF_CHECK(replaceFile(detail::snapshotFileName,
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
    // The snapshot goes first: a snapshot without a log is taken for damage.
    for (const auto* name : { detail::snapshotFileName, detail::logFileName }) {
        const auto file = m_folder + "/" + name;
        if (::unlink(file.c_str()) != 0 && errno != ENOENT)
            return ioFailure(file, "removal", errno);
        BOOST_LEAF_CHECK(syncFolder(m_folder));
    }
    return {};
}

core::Result<void> FileLogStore::refuseAfterFailure() const
{
    if (m_failed)
        return core::fail(core::ErrorKind::IoFailed,
            "data folder '" + m_folder
                + "' had a failed write; free space or replace the disk and restart the controller");
    return {};
}

core::Result<void> FileLogStore::replaceFile(const std::string& name, const std::string& bytes)
{
    const auto file = m_folder + "/" + name;
    const auto temporary = file + detail::temporarySuffix;
    const int descriptor = ::open(temporary.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, fileMode);
    if (descriptor < 0)
        return ioFailure(temporary, "open", errno);
    auto written = writeAll(descriptor, temporary, bytes);
    const int number = !written || ::fsync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    if (!written)
        return written.error();
    if (number != 0)
        return ioFailure(temporary, "sync", number);
    if (::rename(temporary.c_str(), file.c_str()) != 0)
        return ioFailure(temporary, "rename", errno);
    return syncFolder(m_folder);
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
    BOOST_LEAF_CHECK(replaceFile(detail::logFileName, bytes));
    if (m_log >= 0)
        ::close(m_log);
    const auto file = m_folder + "/" + detail::logFileName;
    m_log = ::open(file.c_str(), O_WRONLY | O_APPEND | O_CLOEXEC);
    if (m_log < 0)
        return ioFailure(file, "open", errno);
    return {};
}

core::Result<void> FileLogStore::writePending()
{
    const auto bytes = std::exchange(m_pending, {});
    return writeAll(m_log, m_folder + "/" + detail::logFileName, bytes);
}

} // namespace ibisgw::adapters
