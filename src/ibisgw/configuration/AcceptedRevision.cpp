#include "ibisgw/configuration/AcceptedRevision.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace ibisgw::configuration {

std::uint64_t hashDocument(const std::string& document)
{
    return XXH3_64bits(document.data(), document.size());
}

} // namespace ibisgw::configuration
