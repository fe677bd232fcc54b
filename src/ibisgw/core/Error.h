#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace ibisgw::core {

enum class ErrorKind {
    InvalidInput, // A document, settings file or argument is malformed.
    NotFound,
    Conflict, // The change was made from a revision that is no longer the newest.
    Unavailable, // No quorum, no leader or no upstream at the moment.
    PermissionDenied,
    ResourceExhausted, // Disk, table or queue is full.
    DataCorrupted,
    IoFailed,
    ProtocolViolation,
};

std::string_view nameOf(ErrorKind);

// The message states what failed and what the operator or caller can do about it.
struct Error {
    ErrorKind kind { ErrorKind::InvalidInput };
    std::string message;
};

template <typename T> using Result = boost::leaf::result<T>;

// Reports a failure through Boost.LEAF: `return fail(ErrorKind::IoFailed, "...")`.
boost::leaf::error_id fail(ErrorKind, std::string message);

} // namespace ibisgw::core
