#pragma once

#include "ibisgw/core/Error.h"
#include "ibisgw/sync/SyncMessage.h"

#include <string>
#include <vector>

namespace ibisgw::adapters {

// What a controller keeps on its disk to be of use at once after a start. Not agreed state: it may be old.
struct SavedDirectory {
    std::vector<sync::InstanceItem> instances;
    // Balancers that followed the controller.
    std::vector<core::NodeId> balancers;
    // There is a file that cannot be read: it is damaged, or of another version.
    bool isUnreadable { false };
};

// Empty when the folder holds none or one that cannot be read.
SavedDirectory loadDirectory(const std::string& folder);

core::Result<void> saveDirectory(const std::string& folder, SavedDirectory);

} // namespace ibisgw::adapters
