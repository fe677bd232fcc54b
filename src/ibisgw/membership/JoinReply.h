#pragma once

#include "ibisgw/membership/FlowRecordTable.h"
#include "ibisgw/membership/MemberTable.h"

namespace ibisgw::membership {

// Largest identifier (48 bits). The reply to a join with this subject holds only the entry of the answering daemon.
inline constexpr core::NodeId maxNodeId { (std::uint64_t { 1 } << 48) - 1 };

// The reply to a join: the entry of this daemon, then the members in the joiner's scope with identifiers above the
// subject of the request, each with the range of its flow records. When the list does not fit into one message, the
// subject of the reply is the last member in it.
GossipMessage makeJoinReply(
    core::NodeId joiner, const GossipMessage& request, const Member& self, const MemberTable&, const FlowRecordTable&);

} // namespace ibisgw::membership
