#pragma once

#include "ibisgw/configuration/LogStore.h"

#include <cstddef>
#include <string>

namespace ibisgw::adapters::detail {

inline constexpr auto logFileName = "log";
inline constexpr auto snapshotFileName = "snapshot";
inline constexpr auto temporarySuffix = ".tmp";

struct DataFolderContents {
    // False for a folder without any state.
    bool exists { false };
    configuration::StoredState state;
    std::size_t records { 0 };
    // Bytes after the last complete record of the log, left by an interrupted write.
    std::size_t tornBytes { 0 };
    std::size_t logBytes { 0 };
    std::size_t snapshotBytes { 0 };
};

// Reads a data folder without changing it. Fails with DataCorrupted, naming the remedy, when
// anything but the tail of the log is damaged.
core::Result<DataFolderContents> readDataFolder(const std::string& folder);

} // namespace ibisgw::adapters::detail
