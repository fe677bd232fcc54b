#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/membership/MemberTable.h"

#include <optional>
#include <set>
#include <vector>

namespace ibisgw::membership {

// Decides when this daemon requests the member list, and from which peer. Until the whole list was received the
// requests are frequent. Afterwards they go on at a low rate, to find members whose rumors were lost, and seeds and
// dead members that can be reached again after a partition.
class JoinProcess {
public:
    struct Request {
        core::NodeId target;
        // The reply continues the list after this member; invalid for the start of the list.
        core::NodeId cursor;
    };

    JoinProcess(core::NodeId self, std::vector<core::NodeId> seeds, core::RandomSource&);

    // Requests the whole list again, after this process was paused.
    void restart(core::TimePoint now);
    // The join requests to send now.
    std::vector<Request> takeDueRequests(const MemberTable&, core::TimePoint now);
    // A part of the list has arrived. `last` is its last member, invalid when the list is complete.
    void noteReply(core::NodeId last, core::TimePoint now);

    // The seed is neither in the zone nor in the balancer group of this daemon, so it will not become a member here.
    void noteOutOfScope(core::NodeId seed) { m_outOfScope.insert(seed); }

    // The whole list was received, there is no peer to request it from, or the time limit for joining has passed.
    bool isJoined() const { return m_isJoined; }

private:
    core::Duration randomPart(core::Duration);
    std::optional<core::NodeId> chooseReconnect(const MemberTable&);

    core::NodeId m_self;
    std::vector<core::NodeId> m_seeds;
    core::RandomSource& m_random;
    std::set<core::NodeId> m_outOfScope;
    bool m_isJoined { false };
    core::NodeId m_cursor;
    std::optional<core::TimePoint> m_startedAt;
    core::Duration m_retryInterval;
    core::TimePoint m_nextRequestAt;
    core::TimePoint m_nextReconnectAt;
};

} // namespace ibisgw::membership
