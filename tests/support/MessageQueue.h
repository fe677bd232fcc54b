#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace support {

// Conditions of the network between state machines.
struct NetworkConditions {
    ibisgw::core::Duration minDelay { std::chrono::milliseconds(1) };
    ibisgw::core::Duration maxDelay { std::chrono::milliseconds(2) };
    double loss { 0.0 };
    double duplication { 0.0 };
};

// Delivers messages and timers to state machines in virtual time. Machines are named by number.
// A cut suppresses messages in one direction between two machines.
class MessageQueue {
public:
    using Machine = std::uint64_t;
    using Action = std::function<void(ibisgw::core::TimePoint now)>;

    MessageQueue(NetworkConditions, ibisgw::core::RandomSource&);

    ibisgw::core::TimePoint now() const { return m_now; }
    NetworkConditions& conditions() { return m_conditions; }

    // Runs the delivery after the network's delay, unless it is lost, or the pair is cut by then.
    void send(Machine from, Machine to, const Action& deliver);
    // Runs an action at a given time, outside the network.
    void at(ibisgw::core::TimePoint, Action);
    void after(ibisgw::core::Duration, Action);

    // One direction only.
    void cut(Machine from, Machine to);
    void cutBoth(Machine, Machine);
    void heal(Machine from, Machine to);
    void healAll();
    bool isCut(Machine from, Machine to) const;

    // Runs the next action; false when there is none.
    bool step();
    void runUntil(ibisgw::core::TimePoint);
    void runFor(ibisgw::core::Duration);

private:
    ibisgw::core::Duration drawDelay();

    NetworkConditions m_conditions;
    ibisgw::core::RandomSource& m_random;
    ibisgw::core::TimePoint m_now;
    std::uint64_t m_nextOrder { 0 };
    // Ordered by time, then by insertion, so that equal seeds give equal runs.
    std::map<std::pair<ibisgw::core::TimePoint, std::uint64_t>, Action> m_actions;
    std::set<std::pair<Machine, Machine>> m_cuts;
};

} // namespace support
