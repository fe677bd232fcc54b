#pragma once

#include "ibisgw/core/RandomSource.h"
#include "ibisgw/core/Time.h"

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <utility>

namespace support {

// Delay, loss and duplication of messages in the simulated network. Delays are distributed uniformly; loss and
// duplication are probabilities for each message.
struct NetworkConditions {
    ibisgw::core::Duration minDelay { std::chrono::milliseconds(1) };
    ibisgw::core::Duration maxDelay { std::chrono::milliseconds(2) };
    double loss { 0.0 };
    double duplication { 0.0 };
};

// Discrete-event simulation of a network: delivers messages and runs timers in virtual time. Machines are identified by
// number. A cut is a one-way partition: it drops all messages from one machine to another.
class MessageQueue {
public:
    using Machine = std::uint64_t;
    using Action = std::function<void(ibisgw::core::TimePoint now)>;

    MessageQueue(NetworkConditions, ibisgw::core::RandomSource&);

    ibisgw::core::TimePoint now() const { return m_now; }
    NetworkConditions& conditions() { return m_conditions; }

    // Runs `deliver` after a random network delay, twice if the message is duplicated. The message is dropped if it is
    // lost at random or if the direction is cut when it is sent or when it would arrive.
    void send(Machine from, Machine to, const Action& deliver);
    // Runs an action at a given time, like a local timer: without delay, loss or cuts. A time in the past means now.
    void at(ibisgw::core::TimePoint, Action);
    void after(ibisgw::core::Duration, Action);

    // Cuts one direction only.
    void cut(Machine from, Machine to);
    void cutBoth(Machine, Machine);
    void heal(Machine from, Machine to);
    void healAll();
    bool isCut(Machine from, Machine to) const;

    // Advances to the next action and runs it; returns false if there is none.
    bool step();
    // Runs all actions up to and including this time, and sets now() to it.
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
