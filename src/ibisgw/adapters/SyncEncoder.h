#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/sync/SyncMessage.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace ibisgw::adapters {

// Encodes the messages of one feed, with a cache. After a restart of a fleet hundreds of followers request the same
// parts of the directory, so the encoded bytes of an update are reused for a short time. The report ages in a reused
// update are too low by the age of the cache entry.
class SyncEncoder {
public:
    // The returned view is valid until the next call.
    std::string_view encode(const sync::SyncMessage&, core::TimePoint now);

    // Number of messages that were encoded rather than taken from the cache.
    std::uint64_t encodedCount() const { return m_encodedCount; }

private:
    // Updates of one feed with equal keys have the same contents.
    struct CacheKey {
        std::uint64_t from { 0 };
        std::uint64_t to { 0 };
        std::size_t items { 0 };
        std::size_t marks { 0 };
        direct::ConfigurationVersion version { 0 };
        std::uint64_t membershipIndex { 0 };
        bool hasMore { false };
        bool isCurrent { false };
        std::uint64_t loggedVersion { 0 };
        bool isVoter { true };
        std::uint64_t evacuationRevision { 0 };
        std::uint64_t loggedEvacuationRevision { 0 };

        auto operator<=>(const CacheKey&) const = default;
    };
    struct CacheEntry {
        std::string bytes;
        core::TimePoint encodedAt;
    };

    std::string_view encodeUpdate(const sync::DirectoryUpdate&, const sync::SyncMessage&, core::TimePoint now);

    std::map<CacheKey, CacheEntry> m_cache;
    std::string m_uncachedBytes;
    std::uint64_t m_encodedCount { 0 };
};

} // namespace ibisgw::adapters
