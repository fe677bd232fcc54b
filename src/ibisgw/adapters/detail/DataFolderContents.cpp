#include "ibisgw/adapters/detail/DataFolderContents.h"

#include "ibisgw/adapters/detail/JsonArrayReader.h"
#include "ibisgw/adapters/detail/LogRecord.h"
#include "ibisgw/adapters/detail/RaftJson.h"

#include <filesystem>
#include <fstream>
#include <iterator>

namespace ibisgw::adapters::detail {

using namespace configuration;

namespace {

boost::leaf::error_id corruptionError(const std::string& file, const std::string& what)
{
    return core::fail(core::ErrorKind::DataCorrupted,
        "'" + file + "' " + what
            + "; move the data folder away and restart the controller with an empty one: it rejoins as a learner");
}

core::Result<std::string> readFile(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    std::string bytes { std::istreambuf_iterator<char>(in), {} };
    if (!in.is_open() || in.bad())
        return core::fail(
            core::ErrorKind::IoFailed, "'" + file + "' cannot be read; check its permissions and the disk");
    return bytes;
}

core::Result<void> readSnapshotFile(const std::string& file, const std::string& bytes, Snapshot& snapshot)
{
    LogRecordReader reader(bytes);
    LogRecord record;
    if (reader.next(record) == RecordStatus::Valid && record.type == RecordType::Snapshot
        && reader.position() == bytes.size()) {
        if (auto decoded = readSnapshot(parseCbor(record.payload))) {
            snapshot = std::move(*decoded);
            return {};
        }
    }
    return corruptionError(file, "is not a complete snapshot");
}

// Reconstructs the stored state by replaying the records of the log file.
class LogReplay {
public:
    bool apply(const LogRecord& record)
    {
        const auto json = parseCbor(record.payload);
        JsonArrayReader reader(json);
        switch (record.type) {
        case RecordType::Identity:
            m_state.disk = reader.number();
            m_state.generation = reader.number();
            m_state.startNonce = reader.number();
            m_hasIdentity = true;
            return reader.finished();
        case RecordType::Vote:
            m_state.vote.term = reader.number();
            m_state.vote.votedFor.value = reader.number();
            return reader.finished() && m_hasIdentity;
        case RecordType::Entry:
            return applyEntry(reader) && m_hasIdentity;
        case RecordType::Truncation:
            return applyTruncation(reader.number()) && reader.finished();
        case RecordType::Commit:
            m_state.commitIndex = reader.number();
            return reader.finished() && m_hasIdentity;
        case RecordType::Snapshot:
        case RecordType::Departures:
            return false;
        }
        return false;
    }

    bool hasIdentity() const { return m_hasIdentity; }

    // Combines the entries with the snapshot and drops those that it covers; false if entries between the
    // snapshot and the log are missing.
    bool finish(Snapshot snapshot, StoredState& result)
    {
        auto& entries = m_state.entries;
        if (!entries.empty() && m_firstIndex > snapshot.index + 1)
            return false;
        const auto covered
            = std::min<std::size_t>(entries.size(), snapshot.index + 1 - std::min(m_firstIndex, snapshot.index + 1));
        entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(covered));
        m_state.snapshot = std::move(snapshot);
        result = std::move(m_state);
        return true;
    }

private:
    bool applyEntry(JsonArrayReader& reader)
    {
        const auto index = reader.number();
        auto entry = readLogEntry(reader.array());
        if (!entry || !reader.finished() || index == 0)
            return false;
        if (m_state.entries.empty())
            m_firstIndex = index;
        if (index != m_firstIndex + m_state.entries.size())
            return false;
        m_state.entries.push_back(std::move(*entry));
        return true;
    }

    bool applyTruncation(LogIndex index)
    {
        if (!m_state.entries.empty() && index < m_firstIndex)
            return false;
        while (!m_state.entries.empty() && m_firstIndex + m_state.entries.size() > index)
            m_state.entries.pop_back();
        return true;
    }

    StoredState m_state;
    bool m_hasIdentity { false };
    LogIndex m_firstIndex { 1 };
};

core::Result<void> replayLog(
    const std::string& file, const std::string& bytes, LogReplay& replay, DataFolderContents& contents)
{
    LogRecordReader reader(bytes);
    LogRecord record;
    while (true) {
        const auto status = reader.next(record);
        if (status == RecordStatus::Damaged)
            return corruptionError(file, "is damaged at byte " + std::to_string(reader.position()));
        if (status != RecordStatus::Valid)
            break;
        if (!replay.apply(record))
            return corruptionError(file, "has an invalid record before byte " + std::to_string(reader.position()));
        ++contents.records;
    }
    // The identity record is durable before the file is renamed to its final name, so a torn tail never
    // contains it.
    if (!replay.hasIdentity())
        return corruptionError(file, "has no identity record");
    contents.tornBytes = bytes.size() - reader.position();
    return {};
}

} // namespace

core::Result<DataFolderContents> readDataFolder(const std::string& folder)
{
    DataFolderContents contents;
    const auto logFile = folder + "/" + logFileName;
    const auto snapshotFile = folder + "/" + snapshotFileName;
    const bool hasLog = std::filesystem::exists(logFile);
    const bool hasSnapshot = std::filesystem::exists(snapshotFile);
    if (!hasLog && hasSnapshot)
        return corruptionError(logFile, "is missing beside a snapshot");
    if (!hasLog)
        return contents;
    contents.exists = true;
    Snapshot snapshot;
    if (hasSnapshot) {
        BOOST_LEAF_AUTO(bytes, readFile(snapshotFile));
        contents.snapshotBytes = bytes.size();
        BOOST_LEAF_CHECK(readSnapshotFile(snapshotFile, bytes, snapshot));
    }
    BOOST_LEAF_AUTO(bytes, readFile(logFile));
    contents.logBytes = bytes.size();
    LogReplay replay;
    BOOST_LEAF_CHECK(replayLog(logFile, bytes, replay, contents));
    if (!replay.finish(std::move(snapshot), contents.state))
        return corruptionError(folder, "lacks log entries after the snapshot");
    return contents;
}

} // namespace ibisgw::adapters::detail
