#include "ibisgw/core/Error.h"

#include "ibisgw/core/NameTable.h"

namespace ibisgw::core {

namespace {

constexpr NameTable<ErrorKind, 9> errorKindNames { {
    { ErrorKind::InvalidInput, "invalid_input" },
    { ErrorKind::NotFound, "not_found" },
    { ErrorKind::Conflict, "conflict" },
    { ErrorKind::Unavailable, "unavailable" },
    { ErrorKind::PermissionDenied, "permission_denied" },
    { ErrorKind::ResourceExhausted, "resource_exhausted" },
    { ErrorKind::DataCorrupted, "data_corrupted" },
    { ErrorKind::IoFailed, "io_failed" },
    { ErrorKind::ProtocolViolation, "protocol_violation" },
} };

} // namespace

std::string_view nameOf(ErrorKind kind)
{
    return errorKindNames.nameOf(kind);
}

boost::leaf::error_id fail(ErrorKind kind, std::string message)
{
    return boost::leaf::new_error(Error { kind, std::move(message) });
}

} // namespace ibisgw::core
