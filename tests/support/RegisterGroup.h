#pragma once

#include "ibisgw/configuration/ConfigurationRegister.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/MemoryLogStore.h"
#include "support/MessageQueue.h"

#include <map>
#include <memory>
#include <set>

namespace support {

namespace core = ibisgw::core;
namespace configuration = ibisgw::configuration;

// Raft group of ConfigurationRegisters with an open membership, in virtual time, for tests in which controllers are
// added, removed and replaced. (ControllerGroup, in contrast, runs a fixed number of machines with the document
// service.) Messages to and from an isolated or stopped controller are lost.
class RegisterGroup {
public:
    // Starts the given number of controllers, which form a new group. The first three are the seeds. They are spread
    // over the zones in turn.
    RegisterGroup(std::size_t controllers, std::size_t toleratedDiskLosses, std::uint64_t seed,
        core::Duration commitSaveInterval = {}, std::size_t zones = 1);

    // Starts a controller with a new address and an empty disk, which joins the existing group. From now on the first
    // three running controllers are the seeds.
    core::NodeId add(const core::ZoneName& zone = {});
    // The same, but the seeds stay as they are.
    core::NodeId addWithPresentSeeds(const core::ZoneName& zone) { return create(zone, false); }
    void setSeeds(std::vector<core::NodeId> seeds) { m_seeds = std::move(seeds); }
    // Changes the seeds in the settings of a running controller, which reads them again.
    void reloadSeeds(core::NodeId node, std::vector<core::NodeId> seeds)
    {
        m_members.at(node).instance->setSeeds(std::move(seeds));
    }
    // Starts a successor of the controller, in its zone.
    core::NodeId addSuccessor(core::NodeId node) { return add(zoneOf(node)); }
    const core::ZoneName& zoneOf(core::NodeId node) const { return m_members.at(node).zone; }
    // Ends the process; writes that were not synced are lost.
    void stop(core::NodeId);
    // Ends the process as a termination signal does: it leaves the group first, if it can within a limit.
    void stopAsPlanned(core::NodeId);
    // Starts a stopped controller on the present content of its disk.
    void start(core::NodeId);
    // Empties the disk; the controller must be stopped.
    void wipe(core::NodeId);
    // While the disk is full, it refuses every write.
    void setDiskFull(core::NodeId node, bool isFull) { m_members.at(node).store->setFull(isFull); }
    // Drops all messages to and from the controller until reconnect().
    void isolate(core::NodeId node) { m_isolated.insert(node); }
    void reconnect(core::NodeId node) { m_isolated.erase(node); }
    // Suspends the process until resume(): it neither runs nor receives messages.
    void pause(core::NodeId node) { m_paused.insert(node); }
    void resume(core::NodeId node) { m_paused.erase(node); }

    // Sets the share of the messages that are lost.
    void setLoss(double loss) { m_queue.conditions().loss = loss; }
    // Sets the time that each message takes.
    void setDelay(core::Duration delay) { m_queue.conditions().minDelay = m_queue.conditions().maxDelay = delay; }

    void runFor(core::Duration);
    // Replaces the configuration by one with this version, retrying at the current leader. False when the change was
    // not accepted within the limit.
    bool replace(std::uint64_t version, core::Duration limit = std::chrono::seconds(5));
    // Gives the order to the controller; empty if the controller does not take it.
    std::optional<configuration::OrderTicket> order(core::NodeId, const configuration::EvacuationOrder&);
    // Repeats the order at the current leader until it is acknowledged. False when it was not within the limit.
    bool evacuate(const configuration::EvacuationOrder&, core::Duration limit = std::chrono::seconds(5));
    // Version returned by a linearizable read; 0 if no read was confirmed within the limit.
    std::uint64_t read(core::Duration limit = std::chrono::seconds(10));

    // A controller that is leader and is not isolated; an invalid identifier if there is none.
    core::NodeId leader() const;
    // Null while the controller is stopped.
    const configuration::ConfigurationRegister* find(core::NodeId node) const
    {
        return m_members.at(node).instance.get();
    }
    core::TimePoint now() const { return m_queue.now(); }
    std::vector<core::NodeId> running() const;
    const configuration::Membership& membership() const { return m_members.at(leader()).instance->membership(); }

private:
    struct Member {
        core::ZoneName zone;
        std::unique_ptr<core::PcgRandomSource> random;
        std::unique_ptr<MemoryLogStore> store;
        // Null while the controller is stopped.
        std::unique_ptr<configuration::ConfigurationRegister> instance;
    };
    struct Output;

    core::NodeId create(const core::ZoneName&, bool isFirstStart);
    void start(core::NodeId, bool isFirstStart);
    void deliver(core::NodeId from, core::NodeId to, const configuration::RaftMessage&);
    // Repeats the attempt at the current leader until it succeeds or the limit has passed.
    template <typename Attempt> bool retryAtLeader(core::Duration limit, Attempt);

    std::size_t m_toleratedDiskLosses;
    std::uint64_t m_seed;
    core::Duration m_commitSaveInterval;
    std::vector<core::NodeId> m_seeds;
    std::map<core::NodeId, Member> m_members;
    std::set<core::NodeId> m_isolated;
    std::set<core::NodeId> m_paused;
    core::PcgRandomSource m_random;
    MessageQueue m_queue;
};

} // namespace support
