#include "ibisgw/configuration/DocumentCompression.h"
#include "ibisgw/core/FlowKey.h"
#include "ibisgw/runtime/DirectController.h"
#include "ibisgw/runtime/LogFields.h"

#include <algorithm>

// Calls of upstreams and operators.
namespace ibisgw::runtime {

using configuration::ReplaceStatus;

void DirectController::report(const upstream::InstanceReport& report, AnswerHandler answer)
{
    const auto now = m_loop.now();
    if (isForeign(report)) {
        refuseReport(textOf(report.id), "the configuration does not name its service");
        answer({ AnswerKind::Refused, {}, {} });
        return;
    }
    const auto outcome = m_directory.apply(report, {}, now);
    if (outcome != upstream::ReportOutcome::Stale)
        offerPermits(report, now);
    const auto* record = m_directory.find(report.id);
    const bool isLeaving = report.state != upstream::InstanceState::Ready;
    // The next tick writes and publishes all departures in one batch; after a start of the fleet there are thousands at
    // a time.
    if (isLeaving && record && outcome == upstream::ReportOutcome::Changed)
        m_departures.add(record->report);
    if (!isLeaving || !record || isConfirmed(report.id, record->lastChange)) {
        answer({ AnswerKind::Done, {}, {}, reportTargetOf(report, now) });
        return;
    }
    m_waitingReports.push_back({ report.id, record->lastChange, now, now + callTimeout, std::move(answer) });
}

// Another writer may report the identifier or the address of an upstream, and would end that upstream. The directory
// may hold upstreams of a service that a later configuration no longer names; their reports still renew them.
bool DirectController::isForeign(const upstream::InstanceReport& report)
{
    if (report.state == upstream::InstanceState::Gone)
        return false;
    const auto* record = m_directory.find(report.id);
    const bool isKnown = record && record->report.incarnation == report.incarnation
        && record->report.service == report.service && record->report.address == report.address;
    return !isKnown && m_register.version() > 0 && !isServiceNamed(report.service);
}

const direct::ServiceConfiguration* DirectController::configuredService(const core::ServiceName& service)
{
    if (m_servicesVersion != m_register.version()) {
        m_servicesVersion = m_register.version();
        const auto text = configuration::decompressDocument(m_register.text());
        auto reading = text ? m_configurationFormat.read(*text) : ConfigurationReadResult {};
        m_services = reading.configuration ? std::move(reading.configuration->services) : decltype(m_services) {};
    }
    const auto found = std::ranges::find(m_services, service, &direct::ServiceConfiguration::name);
    return found == m_services.end() ? nullptr : &*found;
}

bool DirectController::isServiceNamed(const core::ServiceName& service)
{
    // A configuration that cannot be read was accepted by a newer version of this program and names services, too.
    return configuredService(service) || m_services.empty();
}

// Balancers follow a controller of their own zone, so the followers of this one are near to an upstream of its zone.
void DirectController::offerPermits(const upstream::InstanceReport& report, core::TimePoint now)
{
    const auto* service = report.coldRemaining > core::Duration::zero() ? configuredService(report.service) : nullptr;
    if (!service || service->warmUpPerSecond == 0)
        return;
    const auto near = report.zone == m_settings.zone ? m_feed.followers() : std::vector<core::NodeId> {};
    auto others = m_feed.subscribedBalancers();
    std::erase_if(others, [&near](core::NodeId it) { return std::ranges::find(near, it) != near.end(); });
    m_coldStarts.offer(report, service->warmUpPerSecond, near, others, now, *this);
}

void DirectController::reportEnd(
    upstream::InstanceId id, std::optional<core::Incarnation> incarnation, AnswerHandler answer)
{
    const auto ending = incarnation ? incarnation : m_directory.departingIncarnation(id);
    if (!ending) {
        refuseReport(textOf(id), "farewell of an earlier lifetime");
        answer({ AnswerKind::Unavailable, {}, {} });
        return;
    }
    upstream::InstanceReport end;
    end.id = id;
    end.state = upstream::InstanceState::Gone;
    end.incarnation = *ending;
    report(end, std::move(answer));
}

// Control address of a controller in the upstream's zone, if the upstream reports to one in another zone. Reports
// within a zone have a shorter round-trip time and cause no traffic between zones.
std::optional<core::Endpoint> DirectController::reportTargetOf(
    const upstream::InstanceReport& report, core::TimePoint now) const
{
    if (report.state != upstream::InstanceState::Ready || report.zone == m_settings.zone)
        return std::nullopt;
    const auto nodes = m_subscriber.currentControllersIn(report.zone, now);
    const auto best = std::ranges::max_element(
        nodes, {}, [&report](core::NodeId it) { return core::rendezvousWeight(report.id.value, it.value); });
    if (best == nodes.end())
        return std::nullopt;
    return core::Endpoint { best->endpoint().address, m_settings.control.port };
}

// A departure is confirmed once a majority of the voters holds it. A balancer only follows a controller that
// reaches a majority, and any two majorities overlap, so that controller reaches one that holds the departure.
bool DirectController::isConfirmed(upstream::InstanceId id, std::uint64_t change) const
{
    const auto nodes = voterNodes();
    const bool isVoter = std::ranges::find(nodes, m_peers.self()) != nodes.end();
    const std::size_t ownConfirmations = isVoter && m_departures.isDurable(id) ? 1 : 0;
    return m_feed.confirmations(change, nodes) + ownConfirmations >= nodes.size() / 2 + 1;
}

void DirectController::replaceConfiguration(
    direct::ConfigurationVersion version, const std::string& text, AnswerHandler answer)
{
    const auto now = m_loop.now();
    // The text is compressed only if it is proposed here, as most calls are repeats or must be redirected to the
    // leader.
    auto status = m_register.statusWithoutProposal(version);
    if (!status)
        status = m_register.replace(version, configuration::compressDocument(text), now, *this);
    if (status == ReplaceStatus::Unknown) {
        answer(redirectToLeader());
    } else {
        m_events.record(Event::ConfigurationProposed, now, [&] {
            return nlohmann::json { { "version", version }, { "held", m_register.version() },
                { "bytes", text.size() } };
        });
        m_waitingChanges.push_back({ version, now, now + callTimeout, std::move(answer) });
    }
    completeWaitingCalls(now);
}

void DirectController::readConfiguration(AnswerHandler answer)
{
    const auto now = m_loop.now();
    const auto ticket = m_register.beginRead(now, *this);
    if (!ticket) {
        m_events.record(Event::ReadRefused, now, [this] {
            return nlohmann::json { { "reason", "this controller is not the leader" },
                { "held", m_register.version() } };
        });
        answer(redirectToLeader());
        return;
    }
    m_waitingReads.push_back({ *ticket, now + callTimeout, std::move(answer) });
    completeWaitingCalls(now);
}

// A committed set is published before the operator learns of it.
void DirectController::orderEvacuation(const configuration::EvacuationOrder& order, AnswerHandler answer)
{
    const auto now = m_loop.now();
    m_evacuationCalls.begin(order, redirectToLeader(), now, *this, std::move(answer));
    m_feed.publish(feedHead(), now, *this);
    completeWaitingCalls(now);
}

void DirectController::logRefusedReport(const std::string& instance)
{
    constexpr std::size_t maxText = 64;
    refuseReport(instance.substr(0, maxText), "malformed");
}

void DirectController::refuseReport(const std::string& instance, const std::string& reason)
{
    m_events.record(Event::ReportRefused, m_loop.now(), [&] {
        return nlohmann::json { { "upstream", instance }, { "reason", reason } };
    });
}

void DirectController::logInvalidConfiguration(const core::Problem& problem)
{
    m_events.record(Event::ConfigurationInvalid, m_loop.now(), [&] {
        return nlohmann::json { { "path", problem.path }, { "problem", problem.message },
            { "held", m_register.version() } };
    });
}

ControlAnswer DirectController::redirectToLeader() const
{
    const auto leader = m_register.raft().leader();
    if (!leader.isValid() || leader == m_peers.self())
        return { AnswerKind::Unavailable, {}, {} };
    return { AnswerKind::RedirectToLeader, core::Endpoint { leader.endpoint().address, m_settings.control.port }, {} };
}

void DirectController::completeWaitingCalls(core::TimePoint now)
{
    std::erase_if(m_waitingReports, [&](const WaitingReport& it) { return completeReport(it, now); });
    std::erase_if(m_waitingChanges, [&](const WaitingChange& it) { return completeChange(it, now); });
    std::erase_if(m_waitingReads, [&](const WaitingRead& it) { return completeRead(it, now); });
    m_evacuationCalls.complete(now);
}

bool DirectController::completeReport(const WaitingReport& waiting, core::TimePoint now)
{
    const bool isDone = isConfirmed(waiting.instance, waiting.change);
    if (!isDone && now < waiting.deadline)
        return false;
    if (isDone)
        m_leaveConfirmationLatency.record(now - waiting.receivedAt);
    else
        m_events.record(Event::ReportUnconfirmed, now, [&] {
            return nlohmann::json { { "upstream", textOf(waiting.instance) }, { "controllers", voterNodes().size() },
                { "confirmed", m_feed.confirmations(waiting.change, voterNodes()) } };
        });
    waiting.answer({ isDone ? AnswerKind::Done : AnswerKind::Unavailable, {}, {} });
    return true;
}

bool DirectController::completeChange(const WaitingChange& waiting, core::TimePoint now)
{
    const auto status = m_register.statusOf(waiting.version);
    if (status == ReplaceStatus::Pending && now < waiting.deadline)
        return false;
    const bool isAccepted = status == ReplaceStatus::Accepted;
    const auto event = isAccepted ? Event::ConfigurationAcknowledged : Event::ConfigurationUndecided;
    m_events.record(event, now, [&] {
        return nlohmann::json { { "version", waiting.version }, { "held", m_register.version() },
            { "seconds", core::toSeconds(now - waiting.receivedAt) } };
    });
    if (isAccepted)
        m_commitLatency.record(now - waiting.receivedAt);
    waiting.answer({ isAccepted ? AnswerKind::Done : AnswerKind::Unavailable, {}, {} });
    return true;
}

bool DirectController::completeRead(const WaitingRead& waiting, core::TimePoint now)
{
    const auto state = m_register.readState(waiting.ticket);
    if (state == configuration::ReadState::Pending && now < waiting.deadline)
        return false;
    const auto text = state == configuration::ReadState::Ready && m_register.version() > 0
        ? configuration::decompressDocument(m_register.text())
        : std::nullopt;
    if (!text)
        m_events.record(Event::ReadRefused, now, [this] {
            return nlohmann::json { { "reason", "leadership was not confirmed before the timeout" },
                { "held", m_register.version() } };
        });
    waiting.answer({ text ? AnswerKind::Done : AnswerKind::Unavailable, {}, text.value_or("") });
    return true;
}

} // namespace ibisgw::runtime
