#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/sync/SyncMessage.h"

#include <compare>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>

namespace ibisgw::adapters {

// Encodes the messages of one feed. After a restart of a fleet hundreds of followers ask for the same parts of the
// directory, so the bytes of a part are kept for a moment; the ages in it are then late by as much.
class SyncEncoder {
public:
    // Valid until the next call.
    std::string_view encode(const sync::SyncMessage&, core::TimePoint now);

    std::uint64_t encodedCount() const { return m_encodedCount; }

private:
    // Equal for updates of one feed with the same contents.
    struct Key {
        std::uint64_t from { 0 };
        std::uint64_t to { 0 };
        std::size_t items { 0 };
        std::size_t marks { 0 };
        direct::ConfigurationVersion version { 0 };
        std::uint64_t membershipIndex { 0 };
        bool hasMore { false };
        bool isCurrent { false };

        auto operator<=>(const Key&) const = default;
    };
    struct Entry {
        std::string bytes;
        core::TimePoint madeAt;
    };

    std::string_view encodeUpdate(const sync::DirectoryUpdate&, const sync::SyncMessage&, core::TimePoint now);

    std::map<Key, Entry> m_entries;
    std::string m_other;
    std::uint64_t m_encodedCount { 0 };
};

} // namespace ibisgw::adapters
