#include "support/MessageQueue.h"

namespace support {

using namespace ibisgw;

MessageQueue::MessageQueue(NetworkConditions conditions, core::RandomSource& random)
    : m_conditions(conditions)
    , m_random(random)
    // Starts at 24 h rather than at zero, so that subtracting a long duration from now() gives a valid time.
    , m_now(core::TimePoint {} + std::chrono::hours(24))
{
}

void MessageQueue::send(Machine from, Machine to, const Action& deliver)
{
    if (isCut(from, to) || m_random.chance(m_conditions.loss))
        return;
    const int copies = m_random.chance(m_conditions.duplication) ? 2 : 1;
    for (int n = 0; n < copies; ++n) {
        after(drawDelay(), [this, from, to, deliver](core::TimePoint now) {
            if (!isCut(from, to))
                deliver(now);
        });
    }
}

void MessageQueue::at(core::TimePoint time, Action action)
{
    m_actions.emplace(std::pair { std::max(time, m_now), m_nextOrder++ }, std::move(action));
}

void MessageQueue::after(core::Duration delay, Action action)
{
    at(m_now + delay, std::move(action));
}

void MessageQueue::cut(Machine from, Machine to)
{
    m_cuts.insert({ from, to });
}

void MessageQueue::cutBoth(Machine first, Machine second)
{
    cut(first, second);
    cut(second, first);
}

void MessageQueue::heal(Machine from, Machine to)
{
    m_cuts.erase({ from, to });
}

void MessageQueue::healAll()
{
    m_cuts.clear();
}

bool MessageQueue::isCut(Machine from, Machine to) const
{
    return m_cuts.contains({ from, to });
}

bool MessageQueue::step()
{
    if (m_actions.empty())
        return false;
    auto next = m_actions.extract(m_actions.begin());
    m_now = next.key().first;
    next.mapped()(m_now);
    return true;
}

void MessageQueue::runUntil(core::TimePoint end)
{
    while (!m_actions.empty() && m_actions.begin()->first.first <= end)
        step();
    m_now = std::max(m_now, end);
}

void MessageQueue::runFor(core::Duration duration)
{
    runUntil(m_now + duration);
}

core::Duration MessageQueue::drawDelay()
{
    const auto spread = static_cast<std::uint64_t>((m_conditions.maxDelay - m_conditions.minDelay).count());
    return m_conditions.minDelay + core::Duration(m_random.below(spread + 1));
}

} // namespace support
