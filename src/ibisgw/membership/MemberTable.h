#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/Member.h"

#include <map>
#include <set>
#include <vector>

namespace ibisgw::membership {

// Members in the scope of one daemon (its zone and its balancer group), without the daemon itself.
class MemberTable {
public:
    struct Record {
        Member member;
        // Time since which the member has been in its present state.
        core::TimePoint changedAt;
        // Time of the last message from the member itself, sent while it was not isolated.
        core::TimePoint lastMessageAt;
        // For a suspect: the members that suspect it.
        std::set<core::NodeId> suspecters;
    };
    enum class Change {
        None,
        Confirmed, // another member suspects a suspect
        Updated, // another state or incarnation
        Joined, // a new member
    };

    // Applies an update if it takes precedence over the entry held, by incarnation and then by state.
    Change apply(const Member&, core::TimePoint now);
    // A message from the member itself has arrived, with the revision that it has in force.
    void noteMessage(core::NodeId, core::Revision inForce, core::TimePoint now);
    void remove(core::NodeId);
    // Starts the timers of all states anew: after a pause of this process or its isolation, during which members could
    // not refute suspicions.
    void restartTimers(core::TimePoint now);

    const Record* find(core::NodeId) const;
    const std::map<core::NodeId, Record>& records() const { return m_records; }
    // Members that can receive messages: alive, suspect or leaving.
    std::vector<core::NodeId> reachable() const;
    std::size_t reachableCount() const;

private:
    std::map<core::NodeId, Record> m_records;
};

} // namespace ibisgw::membership
