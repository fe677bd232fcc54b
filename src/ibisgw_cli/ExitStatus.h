#pragma once

namespace ibisgw_cli {

// Exit statuses for scripts; `ibisgw --help` and docs/OPERATIONS.md list them.
enum class ExitStatus {
    Ok = 0,
    Failed = 1,
    // `ibisgw config check` only, which ends with InvalidInput if the check itself fails.
    Warnings = 1,
    InvalidInput = 2,
    Conflict = 3,
    // The change may or may not take effect; `ibisgw config outcome` with the same identifier shows which.
    UnknownOutcome = 4,
    PermissionDenied = 5,
};

} // namespace ibisgw_cli
