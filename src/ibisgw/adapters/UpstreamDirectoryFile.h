#pragma once

#include "ibisgw/core/Error.h"
#include "ibisgw/sync/SyncMessage.h"

#include <string>
#include <vector>

namespace ibisgw::adapters {

// Upstream directory that a controller saves on its disk, so that it can serve immediately after a restart. It is
// not replicated by Raft and may be out of date.
struct SavedUpstreamDirectory {
    std::vector<sync::InstanceItem> instances;
    // Balancers that had subscribed to updates of the directory.
    std::vector<core::NodeId> balancers;
    // True if the file exists but cannot be decoded, because it is damaged or has the format of another version.
    bool isUnreadable { false };
};

// Returns an empty directory if the file is missing or cannot be decoded.
SavedUpstreamDirectory loadUpstreamDirectory(const std::string& folder);

core::Result<void> saveUpstreamDirectory(const std::string& folder, SavedUpstreamDirectory);

} // namespace ibisgw::adapters
