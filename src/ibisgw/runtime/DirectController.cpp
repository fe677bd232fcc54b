#include "ibisgw/runtime/DirectController.h"

#include "ibisgw/adapters/RaftCodec.h"
#include "ibisgw/adapters/SyncCodec.h"
#include "ibisgw/adapters/UpstreamDirectoryFile.h"
#include "ibisgw/runtime/LogFields.h"
#include "ibisgw/runtime/Subscription.h"

#include <algorithm>

namespace ibisgw::runtime {

namespace {

using adapters::PeerChannel;

constexpr std::chrono::milliseconds tickPeriod { 20 };
constexpr core::Duration expiryInterval = std::chrono::seconds(1);

// Agreement. Shorter than the defaults of RaftOptions: operators and upstreams wait for the next leader.
constexpr core::Duration heartbeatInterval = std::chrono::milliseconds(120);
constexpr core::Duration electionTimeout = std::chrono::milliseconds(500);
constexpr core::Duration diskCheckWait = std::chrono::milliseconds(300);
constexpr core::Duration diskCheckInterval = std::chrono::milliseconds(100);
// A starting controller hands out a configuration without an election once the commit index was saved.
constexpr core::Duration commitSaveInterval = std::chrono::milliseconds(100);

// Minimum time between the termination signal and exit: the other controllers take over, and the last answers are sent.
constexpr core::Duration minShutdownTime = std::chrono::milliseconds(300);
// Maximum wait for the removal from the group; longer than the election of a leader.
constexpr core::Duration leaveTimeout = std::chrono::seconds(3);
constexpr core::Duration quietPeriod = std::chrono::milliseconds(100);
// Reserved at the end of the grace period for process exit, before the platform kills the process.
constexpr core::Duration shutdownMargin = std::chrono::seconds(1);

configuration::RaftOptions raftOptions(const settings::DirectSettings& settings, core::NodeId self)
{
    configuration::RaftOptions options;
    options.self = self;
    options.zone = settings.zone;
    options.controllers = settings.seedNodes();
    options.membershipMode = configuration::MembershipMode::Open;
    options.mayBootstrapGroup = settings.firstStart;
    options.toleratedDiskLosses = settings.toleratedDiskLosses;
    options.heartbeatInterval = heartbeatInterval;
    options.electionTimeout = electionTimeout;
    options.diskCheckWait = diskCheckWait;
    options.diskCheckInterval = diskCheckInterval;
    options.commitSaveInterval = commitSaveInterval;
    return options;
}

// Shorter than for balancers: subscriptions acknowledge departures to the other controllers, and departing upstreams
// wait for these acknowledgements.
constexpr core::Duration controllerSubscriptionInterval = std::chrono::milliseconds(400);

sync::SubscriberOptions controllerSubscription(
    const settings::DirectSettings& settings, core::NodeId self, core::RandomSource& random)
{
    auto options = subscriberOptions(settings, self, random);
    options.isController = true;
    options.interval = controllerSubscriptionInterval;
    return options;
}

} // namespace

core::Result<std::unique_ptr<DirectController>> DirectController::create(const settings::DirectSettings& settings,
    adapters::EventLoop& loop, const ConfigurationFormat& format, std::uint64_t seed)
{
    BOOST_LEAF_AUTO(peer, adapters::UdpSocket::bind(settings.peer));
    auto random = std::make_unique<core::PcgRandomSource>(seed);
    BOOST_LEAF_AUTO(store, adapters::FileLogStore::open(settings.dataFolder, *random));
    return std::unique_ptr<DirectController>(
        new DirectController(settings, loop, format, std::move(random), peer, std::move(store)));
}

DirectController::DirectController(const settings::DirectSettings& settings, adapters::EventLoop& loop,
    const ConfigurationFormat& format, std::unique_ptr<core::PcgRandomSource> random, adapters::UdpSocket peer,
    std::unique_ptr<adapters::FileLogStore> store)
    : m_settings(settings)
    , m_loop(loop)
    , m_configurationFormat(format)
    , m_random(std::move(random))
    , m_logStore(std::move(store))
    , m_peers(loop, peer, static_cast<std::uint32_t>(m_random->next()),
          [this](core::NodeId sender, PeerChannel channel, std::string_view body) { receive(sender, channel, body); })
    , m_register(raftOptions(settings, m_peers.self()), *m_logStore, *m_random)
    , m_feed(m_random->next() | 1, m_directory)
    , m_departureLog(settings.dataFolder)
    , m_departures(*this)
    , m_subscriber(controllerSubscription(settings, m_peers.self(), *m_random), m_directory, &m_departures)
    , m_overdueMonitor(settings.reportInterval)
    , m_failures(m_directory)
    , m_events(settings.logLinesPerSecond)
    , m_processMonitor(m_metrics, tickPeriod)
    , m_commitLatency(m_metrics.latency(
          "ibisgw_configuration_commit_seconds", "From proposing a configuration to its acknowledgement"))
    , m_leaveConfirmationLatency(m_metrics.latency(
          "ibisgw_leave_confirmation_seconds", "From the report of an upstream that leaves to its acknowledgement"))
    , m_diskSyncLatency(m_metrics.latency("ibisgw_disk_sync_seconds", "Time of a sync of the log"))
    , m_evacuationCalls(
          m_register, { m_settings, m_directory, m_subscriber, m_register.evacuationOrders() }, m_events, m_metrics)
    , m_shutdownTimer({ minShutdownTime, quietPeriod, settings.gracePeriod - shutdownMargin })
{
    m_logStore->onSynced([this](core::Duration it) { m_diskSyncLatency.record(it); });
}

core::Result<void> DirectController::start()
{
    const auto loadStarted = m_loop.now();
    BOOST_LEAF_CHECK(m_register.start(loadStarted));
    loadInstances();
    m_events.record(Event::StateLoaded, m_loop.now(), [&] {
        const auto& log = m_register.raft().log();
        return nlohmann::json { { "seconds", core::toSeconds(m_loop.now() - loadStarted) },
            { "version", m_register.version() }, { "upstreams", m_directory.records().size() },
            { "log_entries", log.lastIndex() - log.snapshot().index }, { "first_start", m_settings.firstStart } };
    });
    m_peers.setGateway(m_settings.peerGateway);
    m_peers.start();
    m_loop.addPeriodic(tickPeriod, [this] { tick(); });
    tick();
    return {};
}

void DirectController::tick()
{
    const auto now = m_loop.now();
    m_processMonitor.recordTick(now);
    m_register.tick(now, *this);
    // After a partition all controllers may be gone that the last updates have named.
    m_subscriber.adoptVoters(m_register.membership().voters(), m_register.raft().log().membershipIndex());
    m_subscriber.tick(now, *this);
    m_overdueMonitor.tick(m_directory, canReachMajority(now), now);
    m_departures.flush(now);
    m_feed.publish(feedHead(), now, *this);
    if (m_failures.isDue(now))
        m_failures.publish(m_feed.followers(), now, *this);
    completeWaitingCalls(now);
    logRaftChanges(now);
    m_changeLogger.logChanges(m_directory, m_events, now);
    if (now >= m_nextExpiry) {
        m_nextExpiry = now + expiryInterval;
        m_directory.expire(now);
        m_coldStarts.expire(now);
        saveInstances();
        adapters::flushLog();
    }
    const bool isLeaving = now < m_leaveDeadline && !m_register.isLeaveComplete();
    if (isLeaving || (m_openCalls && m_openCalls() > 0))
        m_shutdownTimer.recordWork(now);
    if (m_shutdownTimer.isOver(now))
        m_loop.stop();
}

void DirectController::logRaftChanges(core::TimePoint now)
{
    const auto& raft = m_register.raft();
    if (raft.leader() != m_loggedLeader) {
        m_loggedLeader = raft.leader();
        m_events.record(Event::LeaderChanged, now, [&] {
            return nlohmann::json { { "leader",
                                        m_loggedLeader.isValid() ? m_loggedLeader.endpoint().toString() : "none" },
                { "term", raft.term() }, { "role", nameOf(raft.role()) }, { "problem", raft.problem() },
                { "lost_voters", raft.lostVoterCount() } };
        });
    }
    if (raft.log().membershipIndex() != m_loggedMembershipIndex) {
        m_loggedMembershipIndex = raft.log().membershipIndex();
        m_events.record(Event::MembersChanged, now, [&] {
            auto members = nlohmann::json::array();
            const auto& membership = m_register.membership();
            for (const auto& it : membership.members) {
                const auto* const role = it.voter ? " voter" : membership.isReplaced(it) ? " replaced" : " learner";
                members.push_back(it.node.endpoint().toString() + role);
            }
            auto absent = nlohmann::json::array();
            for (const auto& it : membership.absent)
                absent.push_back(it.node.endpoint().toString());
            return nlohmann::json { { "members", std::move(members) }, { "absent", std::move(absent) },
                { "index", m_loggedMembershipIndex } };
        });
    }
    const bool isHalted = raft.role() == configuration::RaftRole::Halted;
    const bool wasHalted = m_loggedRole == configuration::RaftRole::Halted;
    m_loggedRole = raft.role();
    if (isHalted != wasHalted)
        m_events.record(isHalted ? Event::StoreFailed : Event::StoreRecovered, now, [&] {
            return nlohmann::json { { "reason", raft.problem() } };
        });
    if (m_register.version() > m_loggedVersion) {
        m_loggedVersion = m_register.version();
        m_events.record(Event::ConfigurationInForce, now, [this] {
            return nlohmann::json { { "version", m_loggedVersion } };
        });
    }
}

bool DirectController::canReachMajority(core::TimePoint now) const
{
    const auto voters = voterNodes();
    const auto self = static_cast<std::size_t>(std::ranges::count(voters, m_peers.self()));
    return m_subscriber.reachableAmong(voters, now) + self >= voters.size() / 2 + 1;
}

// The directory is not part of the replicated state. If the file is lost or outdated, only the start takes longer.
void DirectController::loadInstances()
{
    const auto now = m_loop.now();
    auto saved = adapters::loadUpstreamDirectory(m_settings.dataFolder);
    if (saved.isUnreadable)
        logStoreFailure("the saved upstreams cannot be read; waiting for new reports of the upstreams");
    for (const auto& it : saved.instances)
        m_directory.apply(it.report, m_settings.reportInterval, now);
    for (const auto& it : m_departureLog.load())
        m_directory.apply(it, m_settings.reportInterval, now);
    m_savedChange = m_directory.newestChange();
    m_savedBalancers = saved.balancers;
    m_feed.setFormerBalancers(std::move(saved.balancers), now);
}

void DirectController::saveInstances()
{
    auto balancers = m_feed.subscribedBalancers();
    // After a start no balancer has subscribed yet, so the saved list is kept.
    if (balancers.empty())
        balancers = m_savedBalancers;
    if (m_directory.newestChange() == m_savedChange && balancers == m_savedBalancers)
        return;
    const auto change = m_directory.newestChange();
    adapters::SavedUpstreamDirectory saved { {}, balancers };
    for (const auto& [id, record] : m_directory.records())
        saved.instances.push_back({ record.report, {}, record.isOverdue });
    boost::leaf::try_handle_all(
        [&]() -> core::Result<void> {
            BOOST_LEAF_CHECK(adapters::saveUpstreamDirectory(m_settings.dataFolder, std::move(saved)));
            m_savedChange = change;
            m_savedBalancers = std::move(balancers);
            m_departures.noteDirectorySaved();
            return m_departureLog.clear();
        },
        [&](const core::Error& error) { logStoreFailure(error.message); },
        [&] { logStoreFailure("the upstreams could not be saved"); });
}

void DirectController::beginShutdown(std::function<std::size_t()> openCalls)
{
    const auto now = m_loop.now();
    m_openCalls = std::move(openCalls);
    m_shutdownTimer.begin(now);
    m_register.beginLeave(now);
    m_leaveDeadline = now + leaveTimeout;
    m_events.record(Event::Stopping, now, [this] { return nlohmann::json { { "open_calls", m_openCalls() } }; });
}

void DirectController::reload(const settings::DirectSettings& settings)
{
    m_settings.seeds = settings.seeds;
    m_settings.zones = settings.zones;
    m_subscriber.setSeeds(settings.seedNodes());
    m_register.setSeeds(settings.seedNodes());
    m_events.setLinesPerSecond(settings.logLinesPerSecond);
}

bool DirectController::keep(std::span<const upstream::InstanceReport> reports)
{
    return boost::leaf::try_handle_all(
        [&]() -> core::Result<bool> {
            BOOST_LEAF_CHECK(m_departureLog.append(reports));
            return true;
        },
        [&](const core::Error& error) {
            logStoreFailure(error.message);
            return false;
        },
        [&] {
            logStoreFailure("departures could not be written");
            return false;
        });
}

void DirectController::logStoreFailure(const std::string& reason)
{
    m_events.record(Event::StoreFailed, m_loop.now(), [&] { return nlohmann::json { { "reason", reason } }; });
}

std::vector<core::NodeId> DirectController::controllerNodes() const
{
    auto nodes = m_register.membership().nodes();
    return nodes.empty() ? m_settings.seedNodes() : nodes;
}

std::vector<core::NodeId> DirectController::voterNodes() const
{
    auto nodes = m_register.membership().voters();
    return nodes.empty() ? m_settings.seedNodes() : nodes;
}

sync::FeedStatus DirectController::feedHead() const
{
    const bool isAlone = controllerNodes().size() <= 1;
    const bool isCurrent = isAlone
        || (m_subscriber.hasCompleteDirectory() && canReachMajority(m_loop.now()) && !m_departures.isFailing());
    return { m_register.version(), voterNodes(), m_register.raft().log().membershipIndex(), m_settings.zone, isCurrent,
        m_register.loggedVersion(), m_register.raft().isConfirmedVoter(), m_register.evacuations(),
        m_register.loggedEvacuationRevision() };
}

void DirectController::receive(core::NodeId sender, PeerChannel channel, std::string_view body)
{
    const auto now = m_loop.now();
    if (channel == PeerChannel::Consensus) {
        if (const auto message = adapters::decodeRaftMessage(body))
            m_register.handleMessage(sender, *message, now, *this);
        m_feed.publish(feedHead(), now, *this);
        completeWaitingCalls(now);
        return;
    }
    const auto message = adapters::decodeSyncMessage(body);
    if (!message)
        return;
    if (const auto* subscription = std::get_if<sync::Subscription>(&*message))
        handle(sender, *subscription, now);
    else if (const auto* update = std::get_if<sync::DirectoryUpdate>(&*message))
        m_subscriber.handle(sender, *update, now, *this);
    else if (const auto* request = std::get_if<sync::ConfigurationRequest>(&*message))
        handle(sender, *request);
    else if (const auto* report = std::get_if<sync::UnresponsiveReport>(&*message))
        handle(sender, *report, now);
    else if (const auto* failure = std::get_if<sync::FailureReport>(&*message))
        handle(sender, *failure, now);
    else if (const auto* claim = std::get_if<sync::ColdStartClaim>(&*message))
        m_coldStarts.handle(sender, *claim, now, *this);
}

void DirectController::handle(core::NodeId sender, const sync::Subscription& subscription, core::TimePoint now)
{
    if (subscription.isController)
        m_subscriber.addController(sender);
    m_feed.handle(sender, subscription, feedHead(), now, *this);
    completeWaitingCalls(now);
}

void DirectController::handle(core::NodeId sender, const sync::ConfigurationRequest& request)
{
    if (m_register.version() > request.newerThan)
        send(sender, sync::ConfigurationTransfer { m_register.version(), m_register.text() });
}

void DirectController::handle(core::NodeId sender, const sync::UnresponsiveReport& report, core::TimePoint now)
{
    const bool isMarked = m_unresponsiveMarker.note(m_directory, report.id, report.incarnation, now);
    m_events.record(Event::SilenceReported, now, [&] {
        return nlohmann::json { { "upstream", textOf(report.id) }, { "balancer", sender.endpoint().toString() },
            { "marked", isMarked } };
    });
    if (isMarked)
        m_feed.publish(feedHead(), now, *this);
}

void DirectController::handle(core::NodeId sender, const sync::FailureReport& report, core::TimePoint now)
{
    auto others = controllerNodes();
    std::erase(others, m_peers.self());
    if (!m_failures.handle(sender, report, others, now, *this))
        return;
    m_events.record(Event::UpstreamFailing, now, [&] {
        return nlohmann::json { { "upstream", textOf(report.mark.id) } };
    });
    m_failures.publish(m_feed.followers(), now, *this);
}

void DirectController::send(core::NodeId peer, const configuration::RaftMessage& message)
{
    m_peers.send(peer, PeerChannel::Consensus, adapters::encodeRaftMessage(message));
}

void DirectController::send(core::NodeId peer, const sync::SyncMessage& message)
{
    m_peers.send(peer, PeerChannel::Sync, m_syncEncoder.encode(message, m_loop.now()));
}

} // namespace ibisgw::runtime
