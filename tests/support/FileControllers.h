#pragma once

#include "ibisgw/adapters/FileLogStore.h"
#include "ibisgw/configuration/ConfigurationService.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/MessageQueue.h"
#include "support/TemporaryFolder.h"

#include <map>
#include <memory>

namespace support {

// Raft group of three controllers in virtual time that store their state with FileLogStore in data folders on the real
// disk. Messages are encoded and decoded as on the wire.
class FileControllers {
public:
    using Machine = MessageQueue::Machine;

    explicit FileControllers(std::uint64_t seed);
    ~FileControllers();

    static constexpr Machine count = 3;

    ibisgw::configuration::ConfigurationService& service(Machine);
    // Path of the controller's data folder.
    std::string folder(Machine) const;
    // Total size of the files in the data folder.
    std::size_t folderBytes(Machine) const;
    ibisgw::core::TimePoint now() const { return m_queue.now(); }
    // False when the controller refuses to start on its data folder.
    bool start(Machine);
    void stop(Machine);
    // Submits a change to the leader and runs until the leader has accepted it; false if that takes over 30 s.
    bool change(const std::string& document);
    // A controller that accepts submissions; 0 if there is none.
    Machine leader();
    // Runs until the condition holds; false if that takes over 30 s.
    bool runUntil(const std::function<bool()>&);

private:
    class Output;
    struct Controller {
        std::unique_ptr<ibisgw::adapters::FileLogStore> store;
        std::unique_ptr<ibisgw::configuration::ConfigurationService> service;
    };

    void scheduleTick(Machine);

    ibisgw::core::PcgRandomSource m_random;
    MessageQueue m_queue;
    TemporaryFolder m_folder;
    std::map<Machine, Controller> m_controllers;
    std::uint64_t m_submissions { 0 };
};

// A document of about 3 KB. Documents with consecutive numbers differ in a few values only, like small changes by
// operators.
std::string sampleDocument(std::uint64_t change);

} // namespace support
