#pragma once

#include "ibisgw/sync/SyncMessage.h"

#include <string>
#include <vector>

namespace ibisgw::adapters {

// What a controller keeps on its disk to be of use at once after a start. Not agreed state: it may be old.
struct SavedDirectory {
    std::vector<sync::InstanceItem> instances;
    // Balancers that followed the controller.
    std::vector<core::NodeId> balancers;
};

// Empty when the file is missing or damaged.
SavedDirectory loadDirectory(const std::string& file);

// Replaces the file so that a loss of power leaves the old or the new one. False when the disk refuses it.
bool saveDirectory(const std::string& file, SavedDirectory);

} // namespace ibisgw::adapters
