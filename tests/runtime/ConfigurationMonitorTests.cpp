#include "ibisgw/runtime/ConfigurationMonitor.h"
#include "support/RegisterGroup.h"

#include <doctest/doctest.h>

using namespace ibisgw;
using namespace ibisgw::runtime;
using namespace ibisgw::sync;
using namespace std::chrono_literals;
using support::RegisterGroup;

namespace {

// Time after which a balancer that reaches the controllers must handle flows by the newest accepted configuration.
constexpr core::Duration connectivityWindow = 4s;

struct NoOutput final : SyncOutput {
    void send(core::NodeId, const SyncMessage&) override { }
};

// A balancer that has just started. Takes the newest configuration that a controller in reach offers.
class StartedBalancer {
public:
    explicit StartedBalancer(const RegisterGroup& group)
        : m_group(group)
    {
    }

    void receiveFrom(const std::vector<core::NodeId>& controllers)
    {
        for (const auto& it : controllers) {
            const auto& controller = *m_group.find(it);
            auto members = controller.membership().nodes();
            DirectoryUpdate update { .feed = it.value, .version = controller.version() };
            update.controllers = members.empty() ? m_seeds : members;
            update.membershipIndex = controller.raft().log().membershipIndex();
            update.loggedVersion = controller.loggedVersion();
            update.isVoter = controller.raft().isConfirmedVoter();
            m_subscriber.handle(it, update, m_group.now(), m_output);
            m_held = std::max(m_held, controller.version());
        }
        m_monitor.update(m_subscriber.checkConfiguration(m_held, 0, m_group.now()), m_group.now());
    }

    direct::ConfigurationVersion held() const { return m_held; }
    bool mayPlaceFlows() const { return m_monitor.mayPlaceFlows(); }

private:
    const RegisterGroup& m_group;
    const std::vector<core::NodeId> m_seeds { { 1 }, { 2 }, { 3 } };
    upstream::InstanceDirectory m_directory;
    DirectorySubscriber m_subscriber { { { 20 }, 5, false, m_seeds }, m_directory };
    NoOutput m_output;
    ConfigurationMonitor m_monitor;
    direct::ConfigurationVersion m_held { 0 };
};

} // namespace

TEST_SUITE("runtime")
{
    // Guards against a balancer that starts while the controllers in reach have missed changes or lost their disks, and
    // runs requests of routes that were dropped long ago.
    TEST_CASE("a balancer starts after one of three controllers has missed a change")
    {
        RegisterGroup group(3, 1, 8, 100ms);
        group.runFor(4s);
        REQUIRE(group.replace(9));
        group.runFor(3s);
        const auto lostDisk = group.leader();
        const core::NodeId outdated { lostDisk.value % 3 + 1 };
        const core::NodeId dark { outdated.value % 3 + 1 };
        group.stop(outdated);
        REQUIRE(group.replace(12));
        group.runFor(1s);
        group.stop(lostDisk);
        group.stop(dark);
        StartedBalancer balancer(group);
        const auto start = group.now();
        const auto runFor = [&](core::Duration duration, const std::vector<core::NodeId>& reached) {
            for (const auto end = group.now() + duration; group.now() < end;) {
                group.runFor(100ms);
                balancer.receiveFrom(reached);
            }
        };

        SUBCASE("with another one that has lost its disk, it places no flow by the outdated configuration")
        {
            group.wipe(lostDisk);
            group.start(outdated);
            group.start(lostDisk);
            runFor(connectivityWindow, { outdated, lostDisk });
            CHECK(balancer.held() == 9);
            for (; group.now() < start + 2 * connectivityWindow; runFor(100ms, { outdated, lostDisk }))
                CHECK_FALSE(balancer.mayPlaceFlows());

            group.start(dark);
            runFor(connectivityWindow, group.running());
            CHECK(balancer.held() == 12);
            CHECK(balancer.mayPlaceFlows());
        }
        SUBCASE("isolated with the outdated one, it serves what it can until it reaches a majority")
        {
            group.start(outdated);
            for (; group.now() < start + 2 * connectivityWindow; runFor(100ms, { outdated }))
                CHECK(balancer.mayPlaceFlows());
            CHECK(balancer.held() == 9);

            group.start(dark);
            runFor(connectivityWindow, group.running());
            CHECK(balancer.held() == 12);
            CHECK(balancer.mayPlaceFlows());
        }
        SUBCASE("with all of them, it never stops placing flows")
        {
            group.start(outdated);
            group.start(lostDisk);
            group.start(dark);
            for (; group.now() < start + 2 * connectivityWindow; runFor(100ms, group.running()))
                CHECK(balancer.mayPlaceFlows());
            CHECK(balancer.held() == 12);
        }
    }

    // Guards against a balancer that comes back from a partition, reaches only controllers that have missed changes,
    // and goes on by its old configuration.
    TEST_CASE("the configuration of a balancer")
    {
        constexpr auto timeout = ConfigurationMonitor::confirmationTimeout;
        ConfigurationMonitor monitor;
        const core::TimePoint start { 100s };
        monitor.update(ConfigurationCheck::Confirmed, start);

        SUBCASE("stays confirmed while the controllers elect a leader")
        {
            monitor.update(ConfigurationCheck::Unconfirmed, start + 1s);
            monitor.update(ConfigurationCheck::Unconfirmed, start + 1s + 2 * timeout);
            CHECK(monitor.mayPlaceFlows());
        }
        SUBCASE("must be confirmed again after an isolation")
        {
            const auto contact = start + 10s;
            monitor.update(ConfigurationCheck::Isolated, start + 5s);
            CHECK(monitor.mayPlaceFlows());
            monitor.update(ConfigurationCheck::Unconfirmed, contact);
            CHECK(monitor.mayPlaceFlows());
            monitor.update(ConfigurationCheck::Unconfirmed, contact + timeout + 1ms);
            CHECK_FALSE(monitor.mayPlaceFlows());
            monitor.update(ConfigurationCheck::Confirmed, contact + timeout + 2ms);
            CHECK(monitor.mayPlaceFlows());
        }
    }
}
