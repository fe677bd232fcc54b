#pragma once

#include "support/ConfigurationChecks.h"
#include "support/MemoryLogStore.h"
#include "support/MessageQueue.h"

#include <memory>

namespace support {

// Raft group of controllers in virtual time, with simulated disks and injected faults. After each message and tick the
// state of the controller is checked by ConfigurationChecks.
class ControllerGroup {
public:
    using Machine = MessageQueue::Machine;

    // All controllers get these options, except that `self`, `zone` and `controllers` are set by the group. With an
    // open membership the first three machines are the seeds, and a machine may found a group only at its first start.
    // Machines are numbered from 1. The last ones are successors: they do not take part in the first start, and each is
    // in the zone of one of the others.
    ControllerGroup(std::size_t count, ibisgw::configuration::RaftOptions, MessageQueue&, ibisgw::core::RandomSource&,
        std::size_t successors = 0);

    std::size_t size() const { return m_controllers.size(); }
    // Number of machines that take part in the first start.
    std::size_t initialSize() const { return m_controllers.size() - m_successors; }
    bool isInitial(Machine machine) const { return machine <= initialSize(); }
    bool isRunning(Machine) const;
    bool isPaused(Machine) const;
    // The controller must be running.
    ibisgw::configuration::ConfigurationService& service(Machine);
    MemoryLogStore& store(Machine);
    ConfigurationChecks& checks() { return m_checks; }
    MessageQueue& queue() { return m_queue; }

    void start(Machine);
    // Starts all machines but the successors.
    void startAll();
    // Ends the process. Writes that were not synced are lost or have reached the disk by chance.
    void kill(Machine, bool losesUnsynced = true);
    // Suspends the process; messages that arrive meanwhile are delivered on resume().
    void pause(Machine);
    void resume(Machine);
    // Cuts the machine off from all others, in both directions.
    void isolate(Machine);
    // Leader of the highest term that accepts submissions; 0 if there is none.
    Machine acceptingLeader() const;
    // Whether the group survives the loss of this disk. The committed membership must have a majority of all machines
    // as voters, and without this machine a majority of the voters must have intact disks, both in the committed
    // membership and in the newest membership in the log of each running controller.
    bool mayLoseDisk(Machine) const;
    // The same, but a majority may include as many voters with lost disks as the membership allows. Must also hold for
    // the memberships on the disks of stopped controllers, and for those whose replacement may not be committed.
    bool hasQuorumWithoutDisk(Machine) const;
    // Whether the group survives that this machine never runs again. Nothing then shows that its disk is lost, so a
    // majority of the voters must have intact disks without it, also in the memberships that stopped controllers know.
    bool mayEndForGood(Machine) const;
    // Runs until a leader accepts submissions, all controllers are voters, or with successors as many as took part in
    // the first start, and the leader's log is committed; false when the limit has passed.
    bool runUntilComplete(ibisgw::core::Duration limit);
    // Runs until the condition holds; false when the limit has passed.
    bool runUntil(const std::function<bool()>&, ibisgw::core::Duration limit);

    ibisgw::configuration::SubmissionOutcome submit(Machine, const ibisgw::configuration::Submission&);
    std::optional<ibisgw::configuration::ReadTicket> beginRead(Machine);
    // Requests the removal of a controller from the membership; false if the leader refuses it.
    bool remove(Machine leader, Machine removed);

    static ibisgw::core::NodeId nodeOf(Machine machine) { return { machine }; }

private:
    struct Controller {
        std::unique_ptr<MemoryLogStore> store;
        std::unique_ptr<ibisgw::configuration::ConfigurationService> service;
        bool isPaused { false };
        // Messages that arrived during a pause.
        std::vector<std::pair<Machine, ibisgw::configuration::RaftMessage>> inbox;
        // Number of starts; a timer compares it so that timers of an earlier process have no effect.
        std::uint64_t startCount { 0 };
    };
    class Output;

    void deliver(Machine from, Machine to, const ibisgw::configuration::RaftMessage&);
    void scheduleTick(Machine, std::uint64_t startCount);
    using MembershipCheck = std::function<bool(const ibisgw::configuration::Membership&)>;
    // Number of voters that have their disks, not counting the given machine.
    std::size_t countIntactVoters(const ibisgw::configuration::Membership&, Machine without) const;
    // Whether the committed membership has a majority of the initial size as voters, and the check holds for it and for
    // the newest membership in the log of each running controller.
    bool holdsInMemberships(const MembershipCheck&) const;
    // Whether the check holds for the newest membership on the disk and, if that is not known to be committed, for the
    // one that it replaces.
    bool holdsOnDisk(const MemoryLogStore&, const MembershipCheck&) const;

    ibisgw::configuration::RaftOptions m_options;
    MessageQueue& m_queue;
    ibisgw::core::RandomSource& m_random;
    std::size_t m_successors;
    std::map<Machine, Controller> m_controllers;
    ConfigurationChecks m_checks;
};

} // namespace support
