#pragma once

#include "ibisgw/membership/FlowRecordTable.h"
#include "ibisgw/membership/MemberTable.h"

namespace ibisgw::membership {

// A list that goes on after this member holds the entry of the answering daemon only.
inline constexpr core::NodeId maxNodeId { (std::uint64_t { 1 } << 48) - 1 };

// The answer to a join: the own entry, then the members in the joiner's scope that follow the one that the
// request names, each with its newest flow record. Names the last one if the list goes on.
GossipMessage makeJoinReply(
    core::NodeId joiner, const GossipMessage& request, const Member& self, const MemberTable&, const FlowRecordTable&);

} // namespace ibisgw::membership
