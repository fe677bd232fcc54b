#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/membership/MemberTable.h"
#include "ibisgw/membership/MessageSink.h"
#include "ibisgw/membership/RevisionCount.h"
#include "ibisgw/membership/ZoneDirectory.h"

namespace ibisgw::membership {

// Exchanges summaries of the zones. The two delegates of each zone send the summary of their zone to delegates of the
// other zones; within a zone the summaries spread with pings and join replies.
class ZoneExchange {
public:
    ZoneExchange(const Member& self, const MemberTable&, core::RandomSource&);

    void handle(const GossipMessage&, core::TimePoint now);
    void tick(RevisionId inForce, core::TimePoint now, MessageSink&);
    // One delegate of each other zone if this daemon is a delegate, otherwise none. They forward new revisions into
    // their zones.
    std::vector<core::NodeId> chooseRemoteDelegates();
    // Number of daemons in all zones that have at least the given revision in force, this one included.
    RevisionCount countInForce(core::Revision, core::Revision ownRevision) const;
    // The summary of the next zone in turn, so that each message carries only one. Null when there is none.
    const ZoneSummary* takeNext() { return m_zones.takeNext(); }
    std::vector<ZoneSummary> all() const { return m_zones.all(); }

private:
    bool isDelegate() const;
    std::vector<core::NodeId> ownDelegates() const;
    ZoneSummary makeSummary(RevisionId inForce) const;

    const Member& m_self;
    const MemberTable& m_members;
    core::RandomSource& m_random;
    ZoneDirectory m_zones;
    core::TimePoint m_nextSummaryAt;
};

} // namespace ibisgw::membership
