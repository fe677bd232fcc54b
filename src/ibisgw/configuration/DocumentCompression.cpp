#include "ibisgw/configuration/DocumentCompression.h"

#include <zlib.h>

namespace ibisgw::configuration {

std::optional<core::Problem> sizeProblemOf(const std::string& canonicalText)
{
    if (canonicalText.size() <= maxDocumentBytes)
        return std::nullopt;
    return core::Problem { "",
        "has " + std::to_string(canonicalText.size()) + " bytes with all default values; shorten it to at most "
            + std::to_string(maxDocumentBytes) };
}

std::string compressDocument(const std::string& document)
{
    auto size = compressBound(document.size());
    std::string compressed(size, '\0');
    compress2(reinterpret_cast<Bytef*>(compressed.data()), &size, reinterpret_cast<const Bytef*>(document.data()),
        document.size(), Z_BEST_COMPRESSION);
    compressed.resize(size);
    return compressed;
}

std::optional<std::string> decompressDocument(const std::string& compressed)
{
    uLongf size = maxDocumentBytes;
    std::string document(size, '\0');
    if (uncompress(reinterpret_cast<Bytef*>(document.data()), &size, reinterpret_cast<const Bytef*>(compressed.data()),
            compressed.size())
        != Z_OK)
        return std::nullopt;
    document.resize(size);
    return document;
}

} // namespace ibisgw::configuration
