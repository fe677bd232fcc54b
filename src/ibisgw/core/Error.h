#pragma once

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace ibisgw::core {

// Category of an error; determines, for example, the HTTP status of a response.
enum class ErrorKind {
    InvalidInput, // A document, settings file or argument is malformed.
    NotFound,
    Conflict, // The base of the change is no longer the newest revision.
    Unavailable, // There is no quorum, no leader or no upstream at the moment.
    PermissionDenied,
    ResourceExhausted, // A disk, table or queue is full.
    DataCorrupted, // Stored data is malformed or inconsistent.
    IoFailed, // A file or socket operation failed.
    ProtocolViolation, // A peer sent a malformed or unexpected message.
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
