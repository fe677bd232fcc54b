#include "ibisgw/upstream/MarkLimit.h"

namespace ibisgw::upstream {

namespace {

constexpr std::size_t markedShareDivisor = 3;

} // namespace

bool mayMarkAnother(const InstanceDirectory& directory, const core::ServiceName& service,
    const std::function<bool(const InstanceRecord&)>& isMarked)
{
    std::size_t ready = 0;
    std::size_t marked = 0;
    for (const auto& [id, record] : directory.records()) {
        if (record.report.service != service || record.report.state != InstanceState::Ready)
            continue;
        ++ready;
        marked += isMarked(record) ? 1 : 0;
    }
    return marked == 0 || (marked + 1) * markedShareDivisor <= ready;
}

} // namespace ibisgw::upstream
