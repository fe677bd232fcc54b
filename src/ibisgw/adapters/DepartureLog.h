#pragma once

#include "ibisgw/core/Error.h"
#include "ibisgw/upstream/InstanceReport.h"

#include <span>
#include <string>
#include <vector>

namespace ibisgw::adapters {

// Append-only file of the upstreams that have left since the upstream directory was last saved as a whole. Recording
// departures takes one write and one sync of their size instead of rewriting the whole directory.
class DepartureLog {
public:
    explicit DepartureLog(const std::string& folder);
    ~DepartureLog();
    DepartureLog(const DepartureLog&) = delete;
    DepartureLog& operator=(const DepartureLog&) = delete;

    // Returns the reports before the first damaged record, which is the rest of an interrupted write and was never
    // confirmed.
    std::vector<upstream::InstanceReport> load() const;
    // The reports are durable on success.
    core::Result<void> append(std::span<const upstream::InstanceReport>);
    // Empties the file. Must be called only after a directory that contains all departures has become durable. The
    // truncation is not synced: after a power loss departures may reappear and are applied again, which is idempotent.
    core::Result<void> clear();

private:
    // The readable records of the file, and the bytes that they take.
    struct Contents {
        std::vector<upstream::InstanceReport> reports;
        std::size_t bytes { 0 };
    };

    Contents read() const;
    core::Result<void> open();
    core::Result<void> prepareFile();
    core::Result<void> closeAfterFailure(const std::string& operation);

    std::string m_folder;
    std::string m_file;
    int m_descriptor { -1 };
};

} // namespace ibisgw::adapters
