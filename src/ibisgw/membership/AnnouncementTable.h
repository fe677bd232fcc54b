#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/GossipMessage.h"

#include <map>
#include <vector>

namespace ibisgw::membership {

// Newest announcement and lease of each upstream in scope. Leases are renewed in batches: a slice carries two bytes for
// each upstream in a range of identifiers, and is applied only if both daemons hold the same upstreams in that range.
class AnnouncementTable {
public:
    // An upstream whose announcement is not renewed for this time counts as expired.
    static constexpr core::Duration leaseDuration = std::chrono::seconds(10);
    // Slices include an upstream until this long after its last renewal, so also after its lease has expired. The
    // leases of one upstream expire at different times on different daemons, seconds apart; if slices left it out at
    // once, the sets would differ meanwhile and the slices of that range would renew no lease.
    static constexpr core::Duration listedDuration = std::chrono::seconds(60);
    // Entries are removed this long after the last renewal: later than from slices, so that a peer whose slices still
    // include the upstream cannot add it again.
    static constexpr core::Duration tombstoneDuration = std::chrono::seconds(180);
    // Largest number of upstreams in a slice.
    static constexpr std::size_t sliceEntries = 64;
    // Ranges of at most this many upstreams are repaired with whole announcements, larger ones are split.
    static constexpr std::size_t repairEntries = 8;

    enum class Change {
        None,
        Renewed, // same incarnation and state, newer sequence
        Added,
        Changed, // another state or incarnation
    };
    struct Entry {
        upstream::Announcement announcement;
        core::TimePoint renewedAt;
        bool isExpired { false };
        // Included in slices; see listedDuration.
        bool isListed { true };
    };

    // Applies an announcement if it is newer than the one held.
    Change apply(const upstream::Announcement&, core::TimePoint now);
    // Applies the renewals and loads of a slice, and appends the renewed announcements. False, without any change, when
    // the upstreams in the range of the slice differ from those held here.
    bool applySlice(const LoadSlice&, core::TimePoint now, std::vector<upstream::Announcement>& renewed);
    // Updates isExpired and isListed of all entries, and removes those older than tombstoneDuration.
    void removeExpired(core::TimePoint now);

    // A slice of [first, last] with at most `entries` upstreams; its own `last` is lower when there are more.
    // Successive slices cover the range of identifiers without a gap, so that a missing upstream always falls into one
    // of them.
    LoadSlice sliceFrom(core::UpstreamId first, core::UpstreamId last, std::size_t entries) const;
    // Announcements that slices include, with identifiers in [first, last].
    std::vector<upstream::Announcement> inRange(core::UpstreamId first, core::UpstreamId last) const;
    const Entry* find(core::UpstreamId) const;
    // Number of upstreams whose lease has not expired.
    std::size_t size() const;

    // Identifiers have 48 bits.
    static constexpr core::UpstreamId maxId() { return { (std::uint64_t { 1 } << 48) - 1 }; }

private:
    std::map<core::UpstreamId, Entry> m_entries;
};

} // namespace ibisgw::membership
