#pragma once

#include "ibisgw/core/Ids.h"
#include "ibisgw/core/RandomSource.h"

#include <string>
#include <vector>

namespace ibisgw::membership {

// Up to `count` distinct random peers.
std::vector<core::NodeId> choosePeers(std::vector<core::NodeId> candidates, std::size_t count, core::RandomSource&);

// The daemons that represent a zone towards others: the two winners of rendezvous hashing, so that daemons
// with equal views choose the same ones and one death moves one delegate only.
std::vector<core::NodeId> chooseDelegates(const core::ZoneName&, std::vector<core::NodeId> alive);

// Groups up to this size are told of a change by its origin directly.
inline constexpr std::size_t smallGroup = 16;

} // namespace ibisgw::membership
