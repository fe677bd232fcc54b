#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/membership/AnnouncementTable.h"
#include "ibisgw/membership/MembershipEvents.h"
#include "ibisgw/membership/MessageSink.h"
#include "ibisgw/membership/RumorQueue.h"

namespace ibisgw::membership {

// Spreads announcements among the daemons in scope. Changes of state spread as rumors with the priority of
// configuration; lease renewals and loads travel in slices with the lowest priority; upstreams that a
// daemon has missed are found by the hashes of the slices.
class AnnouncementExchange {
public:
    explicit AnnouncementExchange(core::RandomSource&);

    void publish(const upstream::Announcement&, core::TimePoint now);
    // `loadRoom` is the number of bytes that a message with loads may have now.
    void handle(core::NodeId from, const GossipMessage&, std::size_t loadRoom, core::TimePoint now, MessageSink&,
        MembershipEvents&);
    void tick(const std::vector<core::NodeId>& peers, std::size_t loadRoom, core::TimePoint now, MessageSink&);
    // While contact with all peers is lost, no lease expires.
    void removeExpired(core::TimePoint now) { m_table.removeExpired(now); }

    const AnnouncementTable& table() const { return m_table; }

private:
    void learn(const upstream::Announcement&, core::TimePoint now, MembershipEvents&);
    void spread(const std::vector<core::NodeId>& peers, std::size_t loadRoom, MessageSink&);
    void sendLoads(const std::vector<core::NodeId>& peers, std::size_t room, MessageSink&);
    void repair(core::NodeId peer, const std::vector<LoadSlice>& different, std::size_t maxBytes, MessageSink&);

    core::RandomSource& m_random;
    AnnouncementTable m_table;
    RumorQueue<core::UpstreamId, upstream::Announcement> m_changes;
    // Upstreams that were not known before; less urgent than changes, and many when a zone starts.
    RumorQueue<core::UpstreamId, upstream::Announcement> m_arrivals;
    core::TimePoint m_nextSpreadAt;
    core::TimePoint m_nextLoadAt;
    core::TimePoint m_nextRepairAt;
    // When a slice of a peer last differed from the upstreams held here.
    core::TimePoint m_differedAt;
    // Where the next slice starts.
    core::UpstreamId m_cursor;
};

} // namespace ibisgw::membership
