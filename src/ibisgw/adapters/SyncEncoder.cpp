#include "ibisgw/adapters/SyncEncoder.h"

#include "ibisgw/adapters/SyncCodec.h"

namespace ibisgw::adapters {

namespace {

constexpr core::Duration entryLifetime = std::chrono::milliseconds(250);
constexpr std::size_t maxEntries = 64;

} // namespace

std::string_view SyncEncoder::encode(const sync::SyncMessage& message, core::TimePoint now)
{
    const auto* update = std::get_if<sync::DirectoryUpdate>(&message);
    // Reports between controllers depend on whom the follower hears.
    const bool hasChanges = update && (!update->items.empty() || !update->marks.empty());
    if (hasChanges && update->renewals.empty())
        return encodeUpdate(*update, message, now);
    ++m_encodedCount;
    m_other = encodeSyncMessage(message);
    return m_other;
}

std::string_view SyncEncoder::encodeUpdate(
    const sync::DirectoryUpdate& update, const sync::SyncMessage& message, core::TimePoint now)
{
    const Key key { update.from, update.to, update.items.size(), update.marks.size(), update.version,
        update.membershipIndex, update.hasMore, update.isCurrent };
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && now - found->second.madeAt <= entryLifetime)
        return found->second.bytes;
    std::erase_if(m_entries, [now](const auto& it) { return now - it.second.madeAt > entryLifetime; });
    if (m_entries.size() >= maxEntries)
        m_entries.clear();
    ++m_encodedCount;
    return (m_entries[key] = { encodeSyncMessage(message), now }).bytes;
}

} // namespace ibisgw::adapters
