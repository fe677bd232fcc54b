#pragma once

#include "ibisgw/configuration/LogStore.h"
#include "ibisgw/core/RandomSource.h"

#include <functional>

namespace support {

// In-memory LogStore with fault injection, in place of the disk of a controller. Writes are buffered until sync(), so
// that a crash can lose them. After a failed sync all writes fail until the store is loaded again.
class MemoryLogStore final : public ibisgw::configuration::LogStore {
public:
    explicit MemoryLogStore(ibisgw::core::RandomSource&);

    ibisgw::core::Result<void> appendEntries(
        ibisgw::configuration::LogIndex first, std::span<const ibisgw::configuration::LogEntry>) override;
    ibisgw::core::Result<void> truncateFrom(ibisgw::configuration::LogIndex) override;
    ibisgw::core::Result<void> saveVote(const ibisgw::configuration::VoteState&) override;
    ibisgw::core::Result<void> saveCommit(ibisgw::configuration::LogIndex) override;
    ibisgw::core::Result<void> saveSnapshot(const ibisgw::configuration::Snapshot&) override;
    ibisgw::core::Result<void> sync() override;
    ibisgw::core::Result<ibisgw::configuration::StoredState> load() override;
    ibisgw::core::Result<void> discard() override;

    // Simulates the end of the process. The writes since the last sync are lost, or have reached the disk by chance.
    void crash(bool losesUnsynced);
    // Makes the next sync fail. With `keepsWrites` its writes have reached the disk nevertheless.
    void failNextSync(bool keepsWrites);
    // A full disk refuses every write, also those with which a start begins.
    void setFull(bool isFull) { m_isFull = isFull; }
    // Empties the disk, as if it had been replaced.
    void wipe();
    // Copy of the synced state, to be restored later as an outdated disk, as from a backup.
    ibisgw::configuration::StoredState copy() const { return m_durable; }
    void restoreCopy(const ibisgw::configuration::StoredState&);

    // Random identity of the disk, drawn by the first load(); 0 while the disk is empty.
    ibisgw::configuration::DiskIdentity disk() const { return m_durable.disk; }
    std::size_t syncCount() const { return m_syncCount; }

private:
    using Write = std::function<void(ibisgw::configuration::StoredState&)>;
    ibisgw::core::Result<void> add(Write);
    void flush();

    ibisgw::core::RandomSource& m_random;
    ibisgw::configuration::StoredState m_durable;
    std::vector<Write> m_unsynced;
    bool m_failed { false };
    bool m_failsNextSync { false };
    bool m_keepsFailedWrites { false };
    bool m_isFull { false };
    std::size_t m_syncCount { 0 };
};

} // namespace support
