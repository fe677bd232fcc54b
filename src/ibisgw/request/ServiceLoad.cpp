#include "ibisgw/request/ServiceLoad.h"

#include <algorithm>

namespace ibisgw::request {

bool ServiceLoad::hasRoom(const KindLoad& load) const
{
    return load.hasRoom() && (!load.occupiesSlot || m_limiter.hasRoom());
}

void ServiceLoad::start(KindLoad& load)
{
    ++load.inProgress;
    if (load.occupiesSlot)
        m_limiter.start();
}

Admission ServiceLoad::admit(
    const core::FlowKey& flow, const configuration::RequestKind& kind, const Deadline& deadline, core::TimePoint now)
{
    auto& load = m_kinds[kind.id];
    load.limit = kind.concurrencyLimit;
    load.occupiesSlot = kind.placement == configuration::Placement::Load;
    if (load.waiting.empty() && hasRoom(load)) {
        start(load);
        return Admission::Start;
    }
    return load.waiting.push(flow, deadline, kind.queueLimit, now) ? Admission::Wait : Admission::Refuse;
}

std::optional<core::FlowKey> ServiceLoad::takeWaiting()
{
    KindLoad* next = nullptr;
    for (auto& [id, load] : m_kinds) {
        if (!load.waiting.empty() && hasRoom(load) && (!next || load.limit > next->limit))
            next = &load;
    }
    if (!next)
        return std::nullopt;
    start(*next);
    return next->waiting.pop();
}

void ServiceLoad::eraseWaiting(const core::FlowKey& flow, core::KindId kind)
{
    if (const auto it = m_kinds.find(kind); it != m_kinds.end())
        it->second.waiting.erase(flow);
}

bool ServiceLoad::occupiesSlot(core::KindId kind) const
{
    const auto it = m_kinds.find(kind);
    return it != m_kinds.end() && it->second.occupiesSlot;
}

ServiceLoad::KindLoad* ServiceLoad::recordEnd(core::KindId kind, core::TimePoint now)
{
    const auto it = m_kinds.find(kind);
    if (it == m_kinds.end() || it->second.inProgress == 0)
        return nullptr;
    auto& load = it->second;
    load.waiting.recordDeparture(!hasRoom(load), now);
    --load.inProgress;
    return &load;
}

bool ServiceLoad::isNearLimit() const
{
    constexpr double loadWithExtraAttempts = 1.2;
    if (m_limiter.inProgress() * loadWithExtraAttempts >= m_limiter.limit())
        return true;
    return std::ranges::any_of(m_kinds, [](const auto& it) { return !it.second.waiting.empty(); });
}

void ServiceLoad::release(core::KindId kind, core::TimePoint now)
{
    if (auto* load = recordEnd(kind, now); load && load->occupiesSlot)
        m_limiter.release();
}

void ServiceLoad::complete(core::KindId kind, double shareOfDeadline, core::TimePoint now)
{
    if (auto* load = recordEnd(kind, now); load && load->occupiesSlot)
        m_limiter.complete(shareOfDeadline, now);
}

} // namespace ibisgw::request
