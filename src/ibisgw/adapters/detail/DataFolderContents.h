#pragma once

#include "ibisgw/configuration/LogStore.h"

#include <cstddef>
#include <string>

namespace ibisgw::adapters::detail {

inline constexpr auto logFileName = "log";
inline constexpr auto snapshotFileName = "snapshot";
inline constexpr auto temporarySuffix = ".tmp";

struct DataFolderContents {
    // False if the folder contains neither a log nor a snapshot.
    bool exists { false };
    configuration::StoredState state;
    // Number of records in the log.
    std::size_t records { 0 };
    // Bytes after the last complete record of the log, which an interrupted write has left.
    std::size_t tornBytes { 0 };
    std::size_t logBytes { 0 };
    std::size_t snapshotBytes { 0 };
};

// Reads a data folder without changing it. Fails with DataCorrupted and the remedy if anything but
// the tail of the log is damaged.
core::Result<DataFolderContents> readDataFolder(const std::string& folder);

} // namespace ibisgw::adapters::detail
