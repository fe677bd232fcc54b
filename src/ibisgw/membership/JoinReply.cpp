#include "ibisgw/membership/JoinReply.h"

#include <algorithm>

namespace ibisgw::membership {

namespace {

// Size in bytes above which no more members are added; the next reply continues the list.
constexpr std::size_t joinReplyBytes = 900;

} // namespace

GossipMessage makeJoinReply(core::NodeId joiner, const GossipMessage& request, const Member& self,
    const MemberTable& members, const FlowRecordTable& flowRecords)
{
    GossipMessage reply { .type = MessageType::JoinReply, .probe = request.probe };
    const auto add = [&](const Member& member) {
        reply.members.push_back(member);
        if (const auto head = flowRecords.heldRange(member.id))
            reply.flowHeads.push_back(*head);
    };
    add(self);
    const auto entry = std::find_if(
        request.members.begin(), request.members.end(), [joiner](const Member& it) { return it.id == joiner; });
    if (entry == request.members.end())
        return reply;
    const auto& records = members.records();
    for (auto it = records.upper_bound(request.subject); it != records.end(); ++it) {
        const auto& member = it->second.member;
        if (member.id == joiner || !member.sharesScopeWith(*entry))
            continue;
        if (encodedSize(reply) > joinReplyBytes) {
            reply.subject = reply.members.back().id;
            break;
        }
        add(member);
    }
    return reply;
}

} // namespace ibisgw::membership
