#pragma once

#include "ibisgw/core/Error.h"
#include "ibisgw/upstream/ZoneEvacuations.h"

#include <string>
#include <string_view>

namespace ibisgw::configuration {

// Bounds of a set of evacuated zones, so that it fits into a log entry and into each update to a balancer.
constexpr std::size_t maxEvacuatedZones = 64;
constexpr std::size_t maxZoneNameBytes = 256;

// Encodes a set of evacuated zones for the log and the snapshots of the controllers: format number (1 byte), revision
// (8), number of zones (2), and for each zone the length of its name (2) and the name; numbers are big-endian.
std::string encodeEvacuations(const upstream::ZoneEvacuations&);

// Fails with DataCorrupted if the bytes are malformed, have another format number, exceed the bounds, or hold revision
// 0 or zones that are not in order.
core::Result<upstream::ZoneEvacuations> decodeEvacuations(std::string_view bytes);

} // namespace ibisgw::configuration
