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
#include "ibisgw/runtime/DirectoryJournal.h"
#include "ibisgw/runtime/EventLog.h"
#include "ibisgw/runtime/ProcessMonitor.h"
#include "ibisgw/runtime/ShutdownTimer.h"
#include "ibisgw/settings/DirectSettings.h"
#include "ibisgw/sync/DirectoryFeed.h"
#include "ibisgw/sync/DirectorySubscriber.h"
#include "ibisgw/upstream/OverdueMonitor.h"
#include "ibisgw/upstream/SilenceMarker.h"

#include <functional>
#include <memory>
#include <optional>
#include <vector>

namespace ibisgw::runtime {

enum class AnswerKind : std::uint8_t {
    Done,
    AskLeader, // the answer names its control address
    AskAgain, // not certain here at the moment
};

struct ControlAnswer {
    AnswerKind kind { AnswerKind::AskAgain };
    std::optional<core::Endpoint> leader;
    // The configuration, for a read.
    std::string text;
    // Where an upstream had better report itself from now on, if that is elsewhere.
    std::optional<core::Endpoint> reportTo;
};

// A controller: takes reports of upstreams and configurations of operators, agrees with the other controllers and
// feeds the balancers.
class DirectController final : private configuration::RaftOutput,
                               private sync::SyncOutput,
                               private sync::DepartureStore {
public:
    using Answerer = std::function<void(const ControlAnswer&)>;

    static core::Result<std::unique_ptr<DirectController>> create(
        const settings::DirectSettings&, adapters::EventLoop&, std::uint64_t seed);

    core::Result<void> start();
    // An upstream that leaves gets its answer once a majority of the controllers knows of it.
    void report(const upstream::InstanceReport&, Answerer);
    // The text must have been checked.
    void replaceConfiguration(direct::ConfigurationVersion, const std::string& text, Answerer);
    void readConfiguration(Answerer);
    // Input that was refused before it got here.
    void noteRefusedReport(const std::string& instance);
    void noteInvalidConfiguration(const core::Problem&);
    // Ends the loop once the calls that were made are answered; the function tells how many are open.
    void beginShutdown(std::function<std::size_t()> openCalls);
    void reload(const settings::DirectSettings&);
    // The incarnation that is known for an upstream; 0 when there is none.
    core::Incarnation incarnationOf(upstream::InstanceId) const;
    EventLog& events() { return m_events; }
    // Prometheus text format.
    std::string renderMetrics();

private:
    struct WaitingReport {
        upstream::InstanceId instance;
        std::uint64_t change { 0 };
        core::TimePoint since;
        core::TimePoint deadline;
        Answerer answer;
    };
    struct WaitingChange {
        direct::ConfigurationVersion version { 0 };
        core::TimePoint since;
        core::TimePoint deadline;
        Answerer answer;
    };
    struct WaitingRead {
        configuration::ReadTicket ticket;
        core::TimePoint deadline;
        Answerer answer;
    };

    DirectController(const settings::DirectSettings&, adapters::EventLoop&, std::unique_ptr<core::PcgRandomSource>,
        adapters::UdpSocket peer, std::unique_ptr<adapters::FileLogStore>);

    void send(core::NodeId, const configuration::RaftMessage&) override;
    void send(core::NodeId, const sync::SyncMessage&) override;
    bool keep(std::span<const upstream::InstanceReport>) override;
    void receive(core::NodeId sender, adapters::PeerChannel, std::string_view body);
    void handle(core::NodeId sender, const sync::Subscription&, core::TimePoint now);
    void handle(core::NodeId sender, const sync::ConfigurationRequest&);
    void handle(core::NodeId sender, const sync::SilenceReport&, core::TimePoint now);
    void tick();
    void settle(core::TimePoint now);
    void noteAgreement(core::TimePoint now);
    bool hearsMajority(core::TimePoint now) const;
    void loadInstances();
    void saveInstances();
    bool isConfirmed(upstream::InstanceId, std::uint64_t change) const;
    void noteStoreFailure(const std::string& reason);
    ControlAnswer askElsewhere() const;
    std::optional<core::Endpoint> reportTargetOf(const upstream::InstanceReport&, core::TimePoint now) const;
    std::vector<core::NodeId> controllerNodes() const;
    sync::FeedHead feedHead() const;

    settings::DirectSettings m_settings;
    adapters::EventLoop& m_loop;
    // The store keeps a reference to it.
    std::unique_ptr<core::PcgRandomSource> m_random;
    std::unique_ptr<adapters::FileLogStore> m_store;
    adapters::PeerDatagrams m_peers;
    configuration::ConfigurationRegister m_register;
    upstream::InstanceDirectory m_directory;
    sync::DirectoryFeed m_feed;
    adapters::SyncEncoder m_syncEncoder;
    adapters::DepartureLog m_departureLog;
    sync::DepartureKeeper m_departures;
    sync::DirectorySubscriber m_subscriber;
    upstream::OverdueMonitor m_overdue;
    upstream::SilenceMarker m_silence;
    std::vector<WaitingReport> m_waitingReports;
    std::vector<WaitingChange> m_waitingChanges;
    std::vector<WaitingRead> m_waitingReads;
    core::TimePoint m_nextExpiry {};
    std::uint64_t m_savedChange { 0 };
    std::vector<core::NodeId> m_savedBalancers;
    EventLog m_events;
    DirectoryJournal m_journal;
    adapters::MetricsRegistry m_metrics;
    ProcessMonitor m_process;
    // Kept by the registry.
    adapters::LatencyHistogram& m_changeTime;
    adapters::LatencyHistogram& m_leaveTime;
    adapters::LatencyHistogram& m_syncTime;
    core::NodeId m_notedLeader;
    std::uint64_t m_notedMembership { 0 };
    configuration::RaftRole m_notedRole { configuration::RaftRole::CheckingDisk };
    direct::ConfigurationVersion m_notedVersion { 0 };
    ShutdownTimer m_shutdown;
    std::function<std::size_t()> m_openCalls;
};

} // namespace ibisgw::runtime
