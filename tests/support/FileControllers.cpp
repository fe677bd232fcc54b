#include "support/FileControllers.h"

#include "ibisgw/adapters/RaftCodec.h"

#include <filesystem>
#include <nlohmann/json.hpp>

namespace support {

using namespace ibisgw;
using namespace ibisgw::configuration;
using namespace std::chrono_literals;

namespace {

constexpr core::Duration tickInterval = 100ms;
constexpr core::Duration runLimit = 30s;

} // namespace

class FileControllers::Output final : public RaftOutput {
public:
    Output(FileControllers& controllers, Machine self)
        : m_controllers(controllers)
        , m_self(self)
    {
    }

    void send(core::NodeId to, const RaftMessage& message) override
    {
        m_controllers.m_queue.send(m_self, to.value,
            [&all = m_controllers, from = m_self, to, bytes = adapters::encodeRaftMessage(message)](
                core::TimePoint now) {
                const auto decoded = adapters::decodeRaftMessage(bytes);
                auto& service = all.m_controllers[to.value].service;
                Output output(all, to.value);
                if (decoded && service)
                    service->handleMessage({ from }, *decoded, now, output);
            });
    }

private:
    FileControllers& m_controllers;
    Machine m_self;
};

FileControllers::FileControllers(std::uint64_t seed)
    : m_random(seed)
    , m_queue({ 1ms, 3ms, 0.0, 0.0 }, m_random)
{
    for (Machine machine = 1; machine <= count; ++machine)
        scheduleTick(machine);
}

FileControllers::~FileControllers() = default;

ConfigurationService& FileControllers::service(Machine machine)
{
    return *m_controllers.at(machine).service;
}

std::string FileControllers::folder(Machine machine) const
{
    return m_folder.path() + "/" + std::to_string(machine);
}

std::size_t FileControllers::folderBytes(Machine machine) const
{
    std::size_t sum = 0;
    for (const auto& it : std::filesystem::directory_iterator(folder(machine)))
        sum += it.file_size();
    return sum;
}

bool FileControllers::start(Machine machine)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<bool> {
            auto& controller = m_controllers[machine];
            BOOST_LEAF_ASSIGN(controller.store, adapters::FileLogStore::open(folder(machine), m_random));
            RaftOptions options;
            options.self = { machine };
            options.controllers = { { 1 }, { 2 }, { 3 } };
            controller.service = std::make_unique<ConfigurationService>(options, *controller.store, m_random);
            BOOST_LEAF_CHECK(controller.service->start(m_queue.now()));
            return true;
        },
        [&] {
            stop(machine);
            return false;
        });
}

void FileControllers::stop(Machine machine)
{
    m_controllers[machine].service.reset();
    m_controllers[machine].store.reset();
}

bool FileControllers::change(const std::string& document)
{
    auto id = "change " + std::to_string(++m_submissions);
    core::Revision revision = 0;
    return runUntil([&] {
        const auto machine = leader();
        if (machine == 0)
            return false;
        Output output(*this, machine);
        const auto base = service(machine).newestCommitted().revision;
        const auto outcome = service(machine).submit({ id, "operator", base, document }, m_queue.now(), output);
        if (outcome.kind == OutcomeKind::Accepted)
            revision = outcome.revision;
        // A new leader may report an old revision until it has committed an entry of its term; the retry needs another
        // submission identifier.
        if (outcome.kind == OutcomeKind::Conflict)
            id = "change " + std::to_string(++m_submissions);
        return revision != 0;
    });
}

FileControllers::Machine FileControllers::leader()
{
    for (const auto& [machine, controller] : m_controllers) {
        if (controller.service && controller.service->raft().isAccepting())
            return machine;
    }
    return 0;
}

bool FileControllers::runUntil(const std::function<bool()>& condition)
{
    const auto end = m_queue.now() + runLimit;
    while (!condition()) {
        if (m_queue.now() >= end)
            return false;
        m_queue.step();
    }
    return true;
}

void FileControllers::scheduleTick(Machine machine)
{
    m_queue.after(tickInterval, [this, machine](core::TimePoint now) {
        Output output(*this, machine);
        if (auto& service = m_controllers[machine].service)
            service->tick(now, output);
        scheduleTick(machine);
    });
}

std::string sampleDocument(std::uint64_t change)
{
    constexpr std::uint64_t serviceCount = 14;
    auto services = nlohmann::json::array();
    for (std::uint64_t n = 0; n < serviceCount; ++n) {
        services.push_back({ { "name", "service " + std::to_string(n) }, { "organization", "Gravurwerk" },
            { "addresses", { "10.20.30." + std::to_string(n) + ":443" } }, { "zones", { "bern", "biel", "thun" } },
            { "drain_limit_ms", change % serviceCount == n ? change : 3'600'000 },
            { "kinds", { { { "id", n }, { "name", "upload" }, { "idempotent", false }, { "deadline_ms", 5000 } } } } });
    }
    return nlohmann::json {
        { "services", std::move(services) }, { "note", "change " + std::to_string(change) }
    }.dump();
}

} // namespace support
