#pragma once

#include "ibisgw/configuration/LogStore.h"
#include "ibisgw/core/RandomSource.h"

#include <functional>

namespace support {

// Disk of a controller in memory. Writes wait in a list until sync(), so that a crash can lose them.
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

    // The process ends; unsynced writes are lost or happen to have reached the disk.
    void crash(bool losesUnsynced);
    // The next sync fails. Its writes may have reached the disk nevertheless.
    void failNextSync(bool keepsWrites);
    void wipe();
    // An older copy of the disk, as from a backup.
    ibisgw::configuration::StoredState copy() const { return m_durable; }
    void restoreCopy(const ibisgw::configuration::StoredState&);

    // Identity of the disk; 0 while it is empty.
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
    std::size_t m_syncCount { 0 };
};

} // namespace support
