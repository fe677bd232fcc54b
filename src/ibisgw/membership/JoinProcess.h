#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/core/Time.h"
#include "ibisgw/membership/MemberTable.h"

#include <optional>
#include <set>
#include <vector>

namespace ibisgw::membership {

// Decides whom to ask for members, and when: until the whole list was received, then at a low rate to find
// members whose rumors were lost, and seeds and dead members that can be reached again after a partition.
class JoinProcess {
public:
    struct Request {
        core::NodeId target;
        // The list goes on after this member.
        core::NodeId cursor;
    };

    JoinProcess(core::NodeId self, std::vector<core::NodeId> seeds, core::RandomSource&);

    void restart(core::TimePoint now);
    std::vector<Request> takeDueRequests(const MemberTable&, core::TimePoint now);
    // A part of the list arrived; `last` is its last member, invalid when the list is complete.
    void noteReply(core::NodeId last, core::TimePoint now);

    // The seed is in another zone and group, so it never appears among the members.
    void noteOutOfScope(core::NodeId seed) { m_outOfScope.insert(seed); }

    // The whole list was received, or there is nobody to ask.
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
