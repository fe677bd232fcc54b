#include "ibisgw/configuration/Membership.h"

#include <algorithm>

namespace ibisgw::configuration {

const Member* Membership::find(core::NodeId node) const
{
    const auto it = std::ranges::find(members, node, &Member::node);
    return it == members.end() ? nullptr : &*it;
}

bool Membership::isVoter(core::NodeId node, DiskIdentity disk) const
{
    const auto* member = find(node);
    return member && member->voter && member->disk == disk;
}

std::vector<core::NodeId> Membership::nodes() const
{
    std::vector<core::NodeId> nodes;
    for (const auto& it : members)
        nodes.push_back(it.node);
    return nodes;
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count(members, true, &Member::voter));
}

void Membership::put(const Member& member)
{
    remove(member.node);
    members.push_back(member);
    std::ranges::sort(members, {}, &Member::node);
}

void Membership::remove(core::NodeId node)
{
    std::erase_if(members, [node](const Member& it) { return it.node == node; });
}

} // namespace ibisgw::configuration
