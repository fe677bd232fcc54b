#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/membership/MemberTable.h"
#include "ibisgw/membership/MessageSink.h"
#include "ibisgw/membership/RevisionCount.h"
#include "ibisgw/membership/ZoneDirectory.h"

namespace ibisgw::membership {

// Exchanges summaries of zones: the two delegates of each zone tell the delegates of the others.
class ZoneExchange {
public:
    ZoneExchange(const Member& self, const MemberTable&, core::RandomSource&);

    void handle(const GossipMessage&, core::TimePoint now);
    void tick(RevisionHead inForce, core::TimePoint now, MessageSink&);
    // A delegate of each other zone, if this daemon is a delegate itself; they pass new revisions on.
    std::vector<core::NodeId> chooseRemoteDelegates();
    RevisionCount countInForce(core::Revision, core::Revision ownRevision) const;
    // One summary after another, so that each message needs to carry only one.
    const ZoneSummary* takeNext() { return m_zones.takeNext(); }
    std::vector<ZoneSummary> all() const { return m_zones.all(); }

private:
    bool isDelegate() const;
    std::vector<core::NodeId> ownDelegates() const;
    ZoneSummary makeSummary(RevisionHead inForce) const;

    const Member& m_self;
    const MemberTable& m_members;
    core::RandomSource& m_random;
    ZoneDirectory m_zones;
    core::TimePoint m_nextSummaryAt;
};

} // namespace ibisgw::membership
