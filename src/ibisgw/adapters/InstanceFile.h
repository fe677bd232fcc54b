#pragma once

#include "ibisgw/sync/SyncMessage.h"

#include <string>
#include <vector>

namespace ibisgw::adapters {

// The upstreams that a controller knew when it wrote the file; nothing when the file is missing or damaged.
std::vector<sync::InstanceItem> loadInstances(const std::string& file);

// Replaces the file so that a loss of power leaves the old or the new one. False when the disk refuses it.
bool saveInstances(const std::string& file, std::vector<sync::InstanceItem>);

} // namespace ibisgw::adapters
