#pragma once

#include "ibisgw/configuration/LogStore.h"
#include "ibisgw/core/RandomSource.h"
#include "ibisgw/core/Time.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>

namespace ibisgw::adapters {

// Stores the Raft state of a controller in one data folder: the file `log` with the identity of the
// disk, votes and entries, and the file `snapshot`. Files are replaced by writing a temporary file,
// syncing it, renaming it and syncing the folder, so that either the old or the new file is complete
// after a crash.
class FileLogStore final : public configuration::LogStore {
public:
    // Creates the folder if it is missing and locks it against a second process. The random source
    // generates the identity of the disk and the nonce of each start, so its sequence must differ
    // between controllers and starts.
    static core::Result<std::unique_ptr<FileLogStore>> open(const std::string& folder, core::RandomSource&);

    ~FileLogStore() override;
    FileLogStore(const FileLogStore&) = delete;
    FileLogStore& operator=(const FileLogStore&) = delete;

    core::Result<void> appendEntries(configuration::LogIndex first, std::span<const configuration::LogEntry>) override;
    core::Result<void> truncateFrom(configuration::LogIndex) override;
    core::Result<void> saveVote(const configuration::VoteState&) override;
    core::Result<void> saveCommit(configuration::LogIndex) override;
    core::Result<void> saveSnapshot(const configuration::Snapshot&) override;
    core::Result<void> sync() override;
    core::Result<configuration::StoredState> load() override;
    core::Result<void> discard() override;

    // Sets a handler that is called after each sync of the log with its duration.
    void onSynced(std::function<void(core::Duration)> handler) { m_syncedHandler = std::move(handler); }

private:
    FileLogStore(std::string folder, int lock, core::RandomSource&);

    core::Result<void> checkNotFailed() const;
    core::Result<void> replaceLog();
    core::Result<void> writePending();

    std::string m_folder;
    int m_lockDescriptor;
    core::RandomSource& m_random;
    int m_logDescriptor { -1 };
    // Set before each group of writes and cleared when the group has succeeded. After a failure it stays set, and
    // writes are refused until load() succeeds.
    bool m_failed { true };
    configuration::DiskIdentity m_disk { 0 };
    std::uint64_t m_generation { 0 };
    std::uint64_t m_startNonce { 0 };
    configuration::VoteState m_vote;
    configuration::LogIndex m_commitIndex { 0 };
    // Index of the first record of m_entries.
    configuration::LogIndex m_firstIndex { 1 };
    // Encoded records of the entries after the snapshot, for rewriting the log.
    std::deque<std::string> m_entries;
    std::function<void(core::Duration)> m_syncedHandler;
    // Encoded records that have not been written to the file yet.
    std::string m_pending;
};

} // namespace ibisgw::adapters
