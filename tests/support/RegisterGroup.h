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

// Registers with an open membership on one message queue, for groups whose members come and go. ControllerGroup runs
// a fixed number of machines with the document service. Messages to and from a cut off or stopped controller are lost.
class RegisterGroup {
public:
    // The first three controllers are the seeds.
    RegisterGroup(std::size_t controllers, std::size_t toleratedDiskLosses, std::uint64_t seed);

    // A controller at a new address with an empty disk, in a deployment that has run before. Its seeds run.
    core::NodeId add();
    void stop(core::NodeId);
    // Starts a stopped controller with the disk that it has.
    void start(core::NodeId);
    void wipe(core::NodeId);
    void cutOff(core::NodeId node) { m_cutOff.insert(node); }
    void rejoin(core::NodeId node) { m_cutOff.erase(node); }

    // Share of the messages that are lost.
    void setLoss(double loss) { m_queue.conditions().loss = loss; }

    void runFor(core::Duration);
    // Tries the leader again and again; false when the change was not accepted in time.
    bool replace(std::uint64_t version, core::Duration limit = std::chrono::seconds(5));
    // The version that a confirmed read returns; 0 when none was confirmed in time.
    std::uint64_t read(core::Duration limit = std::chrono::seconds(10));

    core::NodeId leader() const;
    std::vector<core::NodeId> running() const;
    const configuration::Membership& membership() const { return m_members.at(leader()).instance->membership(); }

private:
    struct Member {
        std::unique_ptr<core::PcgRandomSource> random;
        std::unique_ptr<MemoryLogStore> store;
        // Null while the controller is stopped.
        std::unique_ptr<configuration::ConfigurationRegister> instance;
    };
    struct Output;

    core::NodeId create(bool isFirstStart);
    void start(core::NodeId, bool isFirstStart);
    void deliver(core::NodeId from, core::NodeId to, const configuration::RaftMessage&);
    // Repeats the attempt at whoever leads, until it succeeds or the time is over.
    template <typename Attempt> bool tryAtLeader(core::Duration limit, Attempt);

    std::size_t m_toleratedDiskLosses;
    std::uint64_t m_seed;
    std::vector<core::NodeId> m_seeds;
    std::map<core::NodeId, Member> m_members;
    std::set<core::NodeId> m_cutOff;
    core::PcgRandomSource m_random;
    MessageQueue m_queue;
};

} // namespace support
