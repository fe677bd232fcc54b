#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/RandomSource.h"

#include <string>
#include <vector>

namespace ibisgw::membership {

// Up to `count` distinct random peers.
std::vector<core::NodeId> choosePeers(std::vector<core::NodeId> candidates, std::size_t count, core::RandomSource&);

// The delegates of a zone, which exchange summaries with other zones: the two daemons with the highest weights in
// rendezvous hashing. Daemons with the same member list choose the same delegates, and the death of one daemon replaces
// at most one delegate.
std::vector<core::NodeId> chooseDelegates(const core::ZoneName&, std::vector<core::NodeId> alive);

// In scopes with fewer peers than this, a daemon sends its revisions and flow records to all peers itself.
inline constexpr std::size_t smallGroupSize = 16;

} // namespace ibisgw::membership
