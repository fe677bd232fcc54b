#include "support/MemoryLogStore.h"

namespace support {

using namespace ibisgw;
using namespace ibisgw::configuration;

namespace {

void truncate(StoredState& state, LogIndex index)
{
    while (!state.entries.empty() && state.snapshot.index + state.entries.size() >= index)
        state.entries.pop_back();
}

} // namespace

MemoryLogStore::MemoryLogStore(core::RandomSource& random)
    : m_random(random)
{
}

core::Result<void> MemoryLogStore::appendEntries(LogIndex, std::span<const LogEntry> entries)
{
    std::vector<LogEntry> copies(entries.begin(), entries.end());
    return add([copies = std::move(copies)](
                   StoredState& state) { state.entries.insert(state.entries.end(), copies.begin(), copies.end()); });
}

core::Result<void> MemoryLogStore::truncateFrom(LogIndex index)
{
    return add([index](StoredState& state) { truncate(state, index); });
}

core::Result<void> MemoryLogStore::saveVote(const VoteState& vote)
{
    return add([vote](StoredState& state) { state.vote = vote; });
}

core::Result<void> MemoryLogStore::saveCommit(LogIndex index)
{
    return add([index](StoredState& state) { state.commitIndex = index; });
}

core::Result<void> MemoryLogStore::saveSnapshot(const Snapshot& snapshot)
{
    BOOST_LEAF_CHECK(add([snapshot](StoredState& state) {
        const auto covered = std::min<std::size_t>(state.entries.size(), snapshot.index - state.snapshot.index);
        state.entries.erase(state.entries.begin(), state.entries.begin() + static_cast<std::ptrdiff_t>(covered));
        state.snapshot = snapshot;
    }));
    return sync();
}

core::Result<void> MemoryLogStore::sync()
{
    if (m_failed || m_failsNextSync || m_isFull) {
        m_failed = true;
        return core::fail(core::ErrorKind::IoFailed, "sync failed");
    }
    ++m_syncCount;
    flush();
    return {};
}

core::Result<StoredState> MemoryLogStore::load()
{
    if (m_isFull)
        return core::fail(core::ErrorKind::ResourceExhausted, "the disk is full");
    m_failed = false;
    m_unsynced.clear();
    if (m_durable.disk == 0)
        m_durable.disk = m_random.next() | 1;
    ++m_durable.generation;
    m_durable.startNonce = m_random.next() | 1;
    return m_durable;
}

core::Result<void> MemoryLogStore::discard()
{
    wipe();
    return {};
}

void MemoryLogStore::crash(bool losesUnsynced)
{
    if (m_failsNextSync && m_failed)
        losesUnsynced = !m_keepsFailedWrites;
    if (!losesUnsynced)
        flush();
    m_unsynced.clear();
    m_failsNextSync = false;
}

void MemoryLogStore::failNextSync(bool keepsWrites)
{
    m_failsNextSync = true;
    m_keepsFailedWrites = keepsWrites;
}

void MemoryLogStore::wipe()
{
    m_durable = {};
    m_unsynced.clear();
}

void MemoryLogStore::restoreCopy(const StoredState& state)
{
    m_durable = state;
    m_unsynced.clear();
}

core::Result<void> MemoryLogStore::add(Write write)
{
    if (m_failed)
        return core::fail(core::ErrorKind::IoFailed, "an earlier sync failed");
    m_unsynced.push_back(std::move(write));
    return {};
}

void MemoryLogStore::flush()
{
    for (const auto& it : m_unsynced)
        it(m_durable);
    m_unsynced.clear();
}

} // namespace support
