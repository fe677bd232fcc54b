#include "ibisgw/configuration/Membership.h"

#include <algorithm>

namespace ibisgw::configuration {

namespace {

// Twice the number of voters that a group may have.
constexpr std::size_t maxAbsentControllers = 14;

} // namespace

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

std::vector<core::NodeId> Membership::voters() const
{
    std::vector<core::NodeId> nodes;
    for (const auto& it : members) {
        if (it.voter)
            nodes.push_back(it.node);
    }
    return nodes;
}

std::size_t Membership::voterCount() const
{
    return static_cast<std::size_t>(std::ranges::count(members, true, &Member::voter));
}

std::size_t Membership::initialControllerCount() const
{
    std::size_t count = 0;
    for (const auto& [zone, controllers] : initialControllers)
        count += controllers;
    return count;
}

bool Membership::isReplaced(const Member& member) const
{
    const auto initial = initialControllers.find(member.zone);
    if (initial == initialControllers.end())
        return false;
    const auto isSuccessor
        = [&member](const Member& it) { return it.voter && it.zone == member.zone && it.admission > member.admission; };
    return static_cast<std::size_t>(std::ranges::count_if(members, isSuccessor)) >= initial->second;
}

void Membership::admit(Member member, bool isFirstStart)
{
    const auto* known = find(member.node);
    if (!known)
        known = findAbsent(member.node);
    member.voter = false;
    if (known) {
        member.admission = known->admission;
    } else if (isFirstStart) {
        member.admission = initialAdmission;
        ++initialControllers[member.zone];
    } else {
        member.admission = nextAdmission();
    }
    put(member);
}

void Membership::put(const Member& member)
{
    remove(member.node);
    std::erase_if(absent, [&member](const Member& it) { return it.node == member.node; });
    members.push_back(member);
    std::ranges::sort(members, {}, &Member::node);
}

AdmissionNumber Membership::nextAdmission() const
{
    AdmissionNumber newest = initialAdmission;
    for (const auto* list : { &members, &absent }) {
        for (const auto& it : *list)
            newest = std::max(newest, it.admission);
    }
    return newest + 1;
}

void Membership::setVoter(core::NodeId node, bool isVoter)
{
    const auto it = std::ranges::find(members, node, &Member::node);
    if (it != members.end())
        it->voter = isVoter;
}

void Membership::remove(core::NodeId node)
{
    std::erase_if(members, [node](const Member& it) { return it.node == node; });
}

void Membership::removeAsAbsent(core::NodeId node)
{
    const auto* member = find(node);
    if (!member)
        return;
    absent.push_back(*member);
    absent.back().voter = false;
    if (absent.size() > maxAbsentControllers)
        absent.erase(absent.begin());
    remove(node);
}

const Member* Membership::findAbsent(core::NodeId node) const
{
    const auto it = std::ranges::find(absent, node, &Member::node);
    return it == absent.end() ? nullptr : &*it;
}

} // namespace ibisgw::configuration
