#pragma once

#include "ibisgw/core/Problem.h"

#include <optional>
#include <string>

namespace ibisgw::configuration {

// Largest document that a daemon accepts.
inline constexpr std::size_t maxDocumentBytes = std::size_t { 1 } << 20;

// Empty unless the canonical text of a document exceeds maxDocumentBytes, so that other daemons couldn't receive it.
std::optional<core::Problem> sizeProblemOf(const std::string& canonicalText);

// Compresses a document in zlib format (RFC 1950), so that a whole document can be sent within the bandwidth limit
// for control messages.
std::string compressDocument(const std::string&);

// Empty when the text is malformed or the document exceeds maxDocumentBytes.
std::optional<std::string> decompressDocument(const std::string&);

} // namespace ibisgw::configuration
