#pragma once

#include "ibisgw/core/Time.h"
#include "ibisgw/membership/Member.h"

#include <map>
#include <set>
#include <vector>

namespace ibisgw::membership {

// Members in the scope of one daemon, itself excluded.
class MemberTable {
public:
    struct Record {
        Member member;
        // Start of the present state.
        core::TimePoint changedAt;
        // Last message that came from the member itself.
        core::TimePoint heardAt;
        std::set<core::NodeId> accusers;
    };
    enum class Change {
        None,
        Confirmed, // a further accuser of a suspect
        Updated,
        Joined,
    };

    // Applies an update if it takes precedence over what is known.
    Change apply(const Member&, core::TimePoint now);
    void noteHeard(core::NodeId, core::Revision inForce, core::TimePoint now);
    void remove(core::NodeId);
    // Restarts the timers of all states, after this process was paused.
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
