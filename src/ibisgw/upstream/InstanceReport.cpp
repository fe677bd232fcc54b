#include "ibisgw/upstream/InstanceReport.h"

#include "ibisgw/core/NameTable.h"

#include <xxhash.h>

namespace ibisgw::upstream {

namespace {

constexpr core::NameTable<InstanceState, 3> stateNames { {
    { InstanceState::Ready, "ready" },
    { InstanceState::Draining, "draining" },
    { InstanceState::Gone, "gone" },
} };

} // namespace

std::string_view nameOf(InstanceState state)
{
    return stateNames.nameOf(state);
}

std::uint32_t tokenOf(const InstanceReport& report)
{
    const auto serviceHash = XXH3_64bits(report.service.data(), report.service.size());
    const std::uint64_t fields[] { report.id.value, report.incarnation, serviceHash };
    const auto hash = static_cast<std::uint32_t>(XXH3_64bits(fields, sizeof fields));
    return hash == 0 ? 1 : hash;
}

} // namespace ibisgw::upstream
