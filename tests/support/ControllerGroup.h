#pragma once

#include "support/ConfigurationChecks.h"
#include "support/MemoryLogStore.h"
#include "support/MessageQueue.h"

#include <memory>

namespace support {

// Controllers on one message queue, with their disks and faults. Every step is checked.
class ControllerGroup {
public:
    using Machine = MessageQueue::Machine;

    // The options are those of every controller; `self` and `controllers` are set here. With an open membership the
    // first three machines are the seeds, and only the first start of a machine may found a group.
    // Machines are numbered from 1.
    ControllerGroup(std::size_t count, ibisgw::configuration::RaftOptions, MessageQueue&, ibisgw::core::RandomSource&);

    std::size_t size() const { return m_controllers.size(); }
    bool isRunning(Machine) const;
    bool isPaused(Machine) const;
    // Only while it is running.
    ibisgw::configuration::ConfigurationService& service(Machine);
    MemoryLogStore& store(Machine);
    ConfigurationChecks& checks() { return m_checks; }
    MessageQueue& queue() { return m_queue; }

    void start(Machine);
    void startAll();
    void kill(Machine, bool losesUnsynced = true);
    void pause(Machine);
    void resume(Machine);
    // Cuts the machine off in both directions.
    void isolate(Machine);
    // 0 when no controller accepts submissions.
    Machine acceptingLeader() const;
    // Whether the group may lose this disk: every majority keeps an intact voter, and the others suffice.
    bool mayLoseDisk(Machine) const;
    // Runs until a leader accepts submissions and all controllers vote; false after the limit.
    bool runUntilComplete(ibisgw::core::Duration limit);
    // Runs until the condition holds; false after the limit.
    bool runUntil(const std::function<bool()>&, ibisgw::core::Duration limit);

    ibisgw::configuration::SubmissionOutcome submit(Machine, const ibisgw::configuration::Submission&);
    std::optional<ibisgw::configuration::ReadTicket> beginRead(Machine);
    bool remove(Machine leader, Machine removed);

    static ibisgw::core::NodeId nodeOf(Machine machine) { return { machine }; }

private:
    struct Controller {
        std::unique_ptr<MemoryLogStore> store;
        std::unique_ptr<ibisgw::configuration::ConfigurationService> service;
        bool paused { false };
        // Messages that arrived during a pause.
        std::vector<std::pair<Machine, ibisgw::configuration::RaftMessage>> inbox;
        // Counts starts, so that timers of an earlier process have no effect.
        std::uint64_t process { 0 };
    };
    class Output;

    void deliver(Machine from, Machine to, const ibisgw::configuration::RaftMessage&);
    void scheduleTick(Machine, std::uint64_t process);
    bool hasIntactMajority(const ibisgw::configuration::Membership&, Machine without) const;

    ibisgw::configuration::RaftOptions m_options;
    MessageQueue& m_queue;
    ibisgw::core::RandomSource& m_random;
    std::map<Machine, Controller> m_controllers;
    ConfigurationChecks m_checks;
};

} // namespace support
