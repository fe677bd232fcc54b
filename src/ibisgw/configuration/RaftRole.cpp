#include "ibisgw/configuration/RaftRole.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::configuration {

namespace {

constexpr core::NameTable<RaftRole, 7> roleNames { {
    { RaftRole::CheckingDisk, "checking_disk" },
    { RaftRole::Learner, "learner" },
    { RaftRole::Follower, "follower" },
    { RaftRole::PreCandidate, "pre_candidate" },
    { RaftRole::Candidate, "candidate" },
    { RaftRole::Leader, "leader" },
    { RaftRole::Halted, "halted" },
} };

} // namespace

std::string_view nameOf(RaftRole role)
{
    return roleNames.nameOf(role);
}

} // namespace ibisgw::configuration
