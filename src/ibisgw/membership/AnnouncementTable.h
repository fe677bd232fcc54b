#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/GossipMessage.h"

#include <map>
#include <vector>

namespace ibisgw::membership {

// Newest announcement of each upstream in scope. Leases are renewed in batches: a slice carries two bytes
// for each upstream of a range, and applies when both daemons hold the same upstreams in that range.
class AnnouncementTable {
public:
    static constexpr core::Duration leaseDuration = std::chrono::seconds(10);
    // Slices name an upstream for this time after its lease has expired: leases of one upstream expire within
    // seconds of each other, and a range whose sets differ meanwhile would renew no lease.
    static constexpr core::Duration listedDuration = std::chrono::seconds(60);
    // Entries are remembered for longer, so that a peer that still lists one does not bring it back.
    static constexpr core::Duration tombstoneDuration = std::chrono::seconds(180);
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
        bool isListed { true };
    };

    Change apply(const upstream::Announcement&, core::TimePoint now);
    // Applies the loads of a slice; false when the upstreams in its range differ from the ones held here.
    bool applySlice(const LoadSlice&, core::TimePoint now, std::vector<upstream::Announcement>& renewed);
    void removeExpired(core::TimePoint now);

    // The slice that starts at the given identifier, with at most `entries` upstreams. Slices cover the
    // whole number range, so that upstreams missing between two of them are noticed.
    LoadSlice sliceFrom(core::UpstreamId first, core::UpstreamId last, std::size_t entries) const;
    std::vector<upstream::Announcement> inRange(core::UpstreamId first, core::UpstreamId last) const;
    const Entry* find(core::UpstreamId) const;
    std::size_t size() const;

    static constexpr core::UpstreamId maxId() { return { (std::uint64_t { 1 } << 48) - 1 }; }

private:
    std::map<core::UpstreamId, Entry> m_entries;
};

} // namespace ibisgw::membership
