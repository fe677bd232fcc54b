#include "ibisgw/membership/MemberState.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::membership {

namespace {

constexpr core::NameTable<MemberState, 4> memberStateNames { {
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Leaving, "leaving" },
    { MemberState::Dead, "dead" },
} };

} // namespace

std::string_view nameOf(MemberState state)
{
    return memberStateNames.nameOf(state);
}

} // namespace ibisgw::membership
