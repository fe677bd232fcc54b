#pragma once

#include "ibisgw/adapters/DepartureLog.h"
#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/FileLogStore.h"
#include "ibisgw/adapters/MetricsRegistry.h"
#include "ibisgw/adapters/PeerDatagrams.h"
#include "ibisgw/adapters/SyncEncoder.h"
#include "ibisgw/configuration/ConfigurationRegister.h"
#include "ibisgw/configuration/RaftOutput.h"
#include "ibisgw/core/PcgRandomSource.h"
#include "ibisgw/runtime/ConfigurationFormat.h"
#include "ibisgw/runtime/ControlAnswer.h"
#include "ibisgw/runtime/DirectoryChangeLogger.h"
#include "ibisgw/runtime/EvacuationCalls.h"
#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/ProcessMonitor.h"
#include "ibisgw/runtime/ShutdownTimer.h"
#include "ibisgw/settings/DirectSettings.h"
#include "ibisgw/sync/ColdStartPermits.h"
#include "ibisgw/sync/DirectoryFeed.h"
#include "ibisgw/sync/DirectorySubscriber.h"
#include "ibisgw/sync/FailureExchange.h"
#include "ibisgw/upstream/OverdueMonitor.h"
#include "ibisgw/upstream/UnresponsiveMarker.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ibisgw::runtime {

// Controller process of the direct-return mode: receives reports of upstreams and configurations of operators,
// replicates configurations through Raft, and publishes the upstream directory to balancers and other controllers.
class DirectController final : private configuration::RaftOutput,
                               private sync::SyncOutput,
                               private sync::DepartureStore {
public:
    static core::Result<std::unique_ptr<DirectController>> create(
        const settings::DirectSettings&, adapters::EventLoop&, const ConfigurationFormat&, std::uint64_t seed);

    core::Result<void> start();
    // The report of a departing upstream is answered once a majority of the controllers holds the departure. A report
    // of an unknown upstream is refused if the configuration does not name its service: it comes from another writer.
    void report(const upstream::InstanceReport&, AnswerHandler);
    // Farewell of an upstream, with the incarnation if it names one. Answered like report().
    void reportEnd(upstream::InstanceId, std::optional<core::Incarnation>, AnswerHandler);
    // The text must be a valid configuration.
    void replaceConfiguration(direct::ConfigurationVersion, const std::string& text, AnswerHandler);
    void readConfiguration(AnswerHandler);
    void orderEvacuation(const configuration::EvacuationOrder&, AnswerHandler);
    // Log input that the API has rejected.
    void logRefusedReport(const std::string& instance);
    void logInvalidConfiguration(const core::Problem&);
    // Stops the event loop once all open calls are answered. `openCalls` returns their number.
    void beginShutdown(std::function<std::size_t()> openCalls);
    void reload(const settings::DirectSettings&);
    EventLog& events() { return m_events; }
    // Returns the metrics in the Prometheus text format.
    std::string renderMetrics();

private:
    struct WaitingReport {
        upstream::InstanceId instance;
        std::uint64_t change { 0 };
        core::TimePoint receivedAt;
        core::TimePoint deadline;
        AnswerHandler answer;
    };
    struct WaitingChange {
        direct::ConfigurationVersion version { 0 };
        core::TimePoint receivedAt;
        core::TimePoint deadline;
        AnswerHandler answer;
    };
    struct WaitingRead {
        configuration::ReadTicket ticket;
        core::TimePoint deadline;
        AnswerHandler answer;
    };

    DirectController(const settings::DirectSettings&, adapters::EventLoop&, const ConfigurationFormat&,
        std::unique_ptr<core::PcgRandomSource>, adapters::UdpSocket peer, std::unique_ptr<adapters::FileLogStore>);

    void send(core::NodeId, const configuration::RaftMessage&) override;
    void send(core::NodeId, const sync::SyncMessage&) override;
    bool keep(std::span<const upstream::InstanceReport>) override;
    void receive(core::NodeId sender, adapters::PeerChannel, std::string_view body);
    void handle(core::NodeId sender, const sync::Subscription&, core::TimePoint now);
    void handle(core::NodeId sender, const sync::ConfigurationRequest&);
    void handle(core::NodeId sender, const sync::UnresponsiveReport&, core::TimePoint now);
    void handle(core::NodeId sender, const sync::FailureReport&, core::TimePoint now);
    void tick();
    void completeWaitingCalls(core::TimePoint now);
    // Answer a call whose outcome is known or whose deadline has passed; false if it still waits.
    bool completeReport(const WaitingReport&, core::TimePoint now);
    bool completeChange(const WaitingChange&, core::TimePoint now);
    bool completeRead(const WaitingRead&, core::TimePoint now);
    void logRaftChanges(core::TimePoint now);
    bool canReachMajority(core::TimePoint now) const;
    void loadInstances();
    void saveInstances();
    bool isConfirmed(upstream::InstanceId, std::uint64_t change) const;
    bool isForeign(const upstream::InstanceReport&);
    bool isServiceNamed(const core::ServiceName&);
    // Null if the configuration in force doesn't name the service.
    const direct::ServiceConfiguration* configuredService(const core::ServiceName&);
    void offerPermits(const upstream::InstanceReport&, core::TimePoint now);
    void logStoreFailure(const std::string& reason);
    void refuseReport(const std::string& instance, const std::string& reason);
    ControlAnswer redirectToLeader() const;
    std::optional<core::Endpoint> reportTargetOf(const upstream::InstanceReport&, core::TimePoint now) const;
    // The members of the group, or the seeds while there is none.
    std::vector<core::NodeId> controllerNodes() const;
    // The voters, of which a majority decides.
    std::vector<core::NodeId> voterNodes() const;
    sync::FeedStatus feedHead() const;

    settings::DirectSettings m_settings;
    adapters::EventLoop& m_loop;
    const ConfigurationFormat& m_configurationFormat;
    // On the heap because the log store keeps a reference to it.
    std::unique_ptr<core::PcgRandomSource> m_random;
    std::unique_ptr<adapters::FileLogStore> m_logStore;
    adapters::PeerDatagrams m_peers;
    configuration::ConfigurationRegister m_register;
    upstream::InstanceDirectory m_directory;
    sync::DirectoryFeed m_feed;
    adapters::SyncEncoder m_syncEncoder;
    adapters::DepartureLog m_departureLog;
    sync::DepartureWriter m_departures;
    sync::DirectorySubscriber m_subscriber;
    upstream::OverdueMonitor m_overdueMonitor;
    upstream::UnresponsiveMarker m_unresponsiveMarker;
    sync::FailureExchange m_failures;
    sync::ColdStartPermits m_coldStarts;
    std::vector<WaitingReport> m_waitingReports;
    std::vector<WaitingChange> m_waitingChanges;
    std::vector<WaitingRead> m_waitingReads;
    // Services of the configuration with the version m_servicesVersion.
    std::vector<direct::ServiceConfiguration> m_services;
    direct::ConfigurationVersion m_servicesVersion { 0 };
    core::TimePoint m_nextExpiry {};
    std::uint64_t m_savedChange { 0 };
    std::vector<core::NodeId> m_savedBalancers;
    EventLog m_events;
    DirectoryChangeLogger m_changeLogger;
    adapters::MetricsRegistry m_metrics;
    ProcessMonitor m_processMonitor;
    // Owned by the metrics registry.
    adapters::LatencyHistogram& m_commitLatency;
    adapters::LatencyHistogram& m_leaveConfirmationLatency;
    adapters::LatencyHistogram& m_diskSyncLatency;
    EvacuationCalls m_evacuationCalls;
    core::NodeId m_loggedLeader;
    std::uint64_t m_loggedMembershipIndex { 0 };
    configuration::RaftRole m_loggedRole { configuration::RaftRole::CheckingDisk };
    direct::ConfigurationVersion m_loggedVersion { 0 };
    ShutdownTimer m_shutdownTimer;
    core::TimePoint m_leaveDeadline {};
    std::function<std::size_t()> m_openCalls;
};

} // namespace ibisgw::runtime
