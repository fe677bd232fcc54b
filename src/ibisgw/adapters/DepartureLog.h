#pragma once

#include "ibisgw/core/Error.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <span>
#include <string>
#include <vector>

namespace ibisgw::adapters {

// File of the upstreams that have left since the directory was saved as a whole. A departure costs one write and one
// sync, not one of the whole directory.
class DepartureLog {
public:
    explicit DepartureLog(const std::string& folder);
    ~DepartureLog();
    DepartureLog(const DepartureLog&) = delete;
    DepartureLog& operator=(const DepartureLog&) = delete;

    // Reads up to the first damaged record: an interrupted write was never confirmed.
    std::vector<upstream::InstanceReport> load() const;
    // Durable on success.
    core::Result<void> append(std::span<const upstream::InstanceReport>);
    // Call once a directory that holds all departures is durable. A departure that comes back after a loss of power is
    // applied once more, which changes nothing.
    core::Result<void> clear();

private:
    core::Result<void> open();
    core::Result<void> fail(const std::string& operation);

    std::string m_folder;
    std::string m_file;
    int m_descriptor { -1 };
};

} // namespace ibisgw::adapters
