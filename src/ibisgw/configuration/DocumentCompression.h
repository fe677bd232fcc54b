#pragma once

#include <optional>
#include <string>

namespace ibisgw::configuration {

// Largest document that a daemon accepts.
inline constexpr std::size_t maxDocumentBytes = std::size_t { 1 } << 20;

// Deflates a document (RFC 1950) for the transfer of a whole one under the control budget.
std::string compressDocument(const std::string&);

// Empty when the text is malformed or the document exceeds maxDocumentBytes.
std::optional<std::string> decompressDocument(const std::string&);

} // namespace ibisgw::configuration
