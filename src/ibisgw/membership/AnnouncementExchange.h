#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/membership/AnnouncementTable.h"
#include "ibisgw/membership/MembershipEvents.h"
#include "ibisgw/membership/MessageSink.h"
#include "ibisgw/membership/RumorQueue.h"

namespace ibisgw::membership {

// Exchanges announcements of upstreams among the daemons in scope. Changes of state spread as rumors with
// Priority::Configuration. Lease renewals and loads are sent in slices with the lowest priority. A slice carries a hash
// of the upstreams in its range, so that a daemon that lacks some of them detects this and requests a repair.
class AnnouncementExchange {
public:
    explicit AnnouncementExchange(core::RandomSource&);

    // An announcement that this daemon received from the upstream itself.
    void publish(const upstream::Announcement&, core::TimePoint now);
    // `loadRoom` is the number of bytes that the budget allows a message of Priority::Load now.
    void handle(core::NodeId from, const GossipMessage&, std::size_t loadRoom, core::TimePoint now, MessageSink&,
        MembershipEvents&);
    void tick(const std::vector<core::NodeId>& peers, std::size_t loadRoom, core::TimePoint now, MessageSink&);
    // Marks expired leases. Not to be called while this daemon is isolated: it receives no renewals then.
    void removeExpired(core::TimePoint now) { m_table.removeExpired(now); }

    const AnnouncementTable& table() const { return m_table; }

private:
    void applyAnnouncement(const upstream::Announcement&, core::TimePoint now, MembershipEvents&);
    void spreadRumors(const std::vector<core::NodeId>& peers, std::size_t loadRoom, MessageSink&);
    void sendLoads(const std::vector<core::NodeId>& peers, std::size_t room, MessageSink&);
    void repair(core::NodeId peer, const std::vector<LoadSlice>& different, std::size_t maxBytes, MessageSink&);

    core::RandomSource& m_random;
    AnnouncementTable m_table;
    RumorQueue<core::UpstreamId, upstream::Announcement> m_changes;
    // Upstreams that were added to the table. Less urgent than changes of state, and many when a zone starts.
    RumorQueue<core::UpstreamId, upstream::Announcement> m_added;
    core::TimePoint m_nextSpreadAt;
    core::TimePoint m_nextLoadAt;
    core::TimePoint m_nextRepairAt;
    // Time of the last slice whose hash differed from the upstreams held here.
    core::TimePoint m_lastDifferenceAt;
    // First identifier of the next slice to send.
    core::UpstreamId m_nextSliceStart;
};

} // namespace ibisgw::membership
