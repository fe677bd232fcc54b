#include "ibisgw/adapters/SyncEncoder.h"

#include "ibisgw/adapters/SyncCodec.h"

namespace ibisgw::adapters {

namespace {

constexpr core::Duration maxCacheAge = std::chrono::milliseconds(250);
constexpr std::size_t maxCacheEntries = 64;

} // namespace

std::string_view SyncEncoder::encode(const sync::SyncMessage& message, core::TimePoint now)
{
    const auto* update = std::get_if<sync::DirectoryUpdate>(&message);
    // Updates with renewals are sent to controllers only. They are not cached, because their contents depend on which
    // controllers the follower receives reports from.
    const bool hasChanges = update && (!update->items.empty() || !update->marks.empty());
    if (hasChanges && update->renewals.empty())
        return encodeUpdate(*update, message, now);
    ++m_encodedCount;
    m_uncachedBytes = encodeSyncMessage(message);
    return m_uncachedBytes;
}

std::string_view SyncEncoder::encodeUpdate(
    const sync::DirectoryUpdate& update, const sync::SyncMessage& message, core::TimePoint now)
{
    const CacheKey key { update.from, update.to, update.items.size(), update.marks.size(), update.version,
        update.membershipIndex, update.hasMore, update.isCurrent, update.loggedVersion, update.isVoter,
        update.evacuations.revision, update.loggedEvacuationRevision };
    const auto found = m_cache.find(key);
    if (found != m_cache.end() && now - found->second.encodedAt <= maxCacheAge)
        return found->second.bytes;
    std::erase_if(m_cache, [now](const auto& it) { return now - it.second.encodedAt > maxCacheAge; });
    if (m_cache.size() >= maxCacheEntries)
        m_cache.clear();
    ++m_encodedCount;
    return (m_cache[key] = { encodeSyncMessage(message), now }).bytes;
}

} // namespace ibisgw::adapters
