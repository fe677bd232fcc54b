#pragma once

#include "ibisgw/adapters/FileLogStore.h"
#include "ibisgw/configuration/ConfigurationService.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "support/MessageQueue.h"
#include "support/TemporaryFolder.h"

#include <map>
#include <memory>

namespace support {

// Three controllers in virtual time, each with a data folder on the disk. Messages pass through
// their encoding.
class FileControllers {
public:
    using Machine = MessageQueue::Machine;

    explicit FileControllers(std::uint64_t seed);
    ~FileControllers();

    static constexpr Machine count = 3;

    ibisgw::configuration::ConfigurationService& service(Machine);
    std::string folder(Machine) const;
    std::size_t folderBytes(Machine) const;
    ibisgw::core::TimePoint now() const { return m_queue.now(); }
    // False when the data folder is refused.
    bool start(Machine);
    void stop(Machine);
    // Submits a change to the leader and runs until it is accepted everywhere; false if it is not.
    bool change(const std::string& document);
    // 0 when there is none.
    Machine leader();
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

// Operators' document of about 3 KB in which each change touches a few values.
std::string sampleDocument(std::uint64_t change);

} // namespace support
