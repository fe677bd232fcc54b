#include "ibisgwd/ControllerRole.h"

#include "ibisgw/adapters/EventLoop.h"
#include "ibisgw/adapters/Log.h"
#include "ibisgw/adapters/RaftCodec.h"
#include "ibisgwd/PeerNetwork.h"

#include <algorithm>

namespace ibisgwd {

using namespace ibisgw;
using adapters::ControlCall;
using adapters::ControlReply;
using adapters::ControlRequest;
using configuration::OutcomeKind;

namespace {

// A submission that is not committed or rejected within this time is answered with an unknown outcome; the sender
// retries.
constexpr core::Duration decisionTimeout = std::chrono::seconds(5);

constexpr std::size_t maxWaitingSenders = 256;

configuration::RaftOptions makeOptions(const settings::DaemonSettings& settings, core::NodeId self)
{
    configuration::RaftOptions options;
    options.self = self;
    for (const auto& it : settings.controllers)
        options.controllers.push_back(core::NodeId::fromEndpoint(it));
    return options;
}

} // namespace

core::Result<std::unique_ptr<ControllerRole>> ControllerRole::create(const settings::DaemonSettings& settings,
    core::RandomSource& random, adapters::EventLoop& loop, PeerNetwork& network, RevisionHandler revisionHandler)
{
    BOOST_LEAF_AUTO(store, adapters::FileLogStore::open(settings.dataFolder, random));
    std::unique_ptr<ControllerRole> role(
        new ControllerRole(settings, std::move(store), random, loop, network, std::move(revisionHandler)));
    BOOST_LEAF_CHECK(role->m_service.start(loop.now()));
    return role;
}

ControllerRole::ControllerRole(const settings::DaemonSettings& settings, std::unique_ptr<adapters::FileLogStore> store,
    core::RandomSource& random, adapters::EventLoop& loop, PeerNetwork& network, RevisionHandler revisionHandler)
    : m_loop(loop)
    , m_network(network)
    , m_store(std::move(store))
    , m_service(makeOptions(settings, network.self()), *m_store, random)
    , m_revisionHandler(std::move(revisionHandler))
{
}

ControllerRole::~ControllerRole() = default;

void ControllerRole::tick()
{
    m_service.tick(m_loop.now(), *this);
    publishCommitted();
    answerWaitingSenders();
    answerWaitingReaders();
}

void ControllerRole::handleConsensus(core::NodeId sender, std::span<const std::byte> body)
{
    const std::string_view text(reinterpret_cast<const char*>(body.data()), body.size());
    if (const auto message = adapters::decodeRaftMessage(text))
        m_service.handleMessage(sender, *message, m_loop.now(), *this);
    publishCommitted();
    answerWaitingSenders();
    answerWaitingReaders();
}

void ControllerRole::handleRequest(core::NodeId sender, const ControlRequest& request)
{
    ControlReply answer;
    answer.number = request.number;
    switch (request.call) {
    case ControlCall::Submit:
        submit(sender, request);
        return;
    case ControlCall::FindOutcome:
        answer.outcome = m_service.outcomeOf(request.submission.id);
        break;
    case ControlCall::FindRevision:
        if (auto revision = m_service.findRevision(request.revision))
            answer.revisions.push_back(std::move(*revision));
        break;
    case ControlCall::ListRevisions:
        answer.revisions = newestRevisions(request.limit);
        break;
    case ControlCall::ReadNewest:
        readNewest(sender, request);
        return;
    case ControlCall::DrainBalancer:
    case ControlCall::FindSpans:
    case ControlCall::HandOver:
        // Daemon::answerRequest() handles these calls.
        return;
    }
    reply(sender, answer);
}

void ControllerRole::submit(core::NodeId sender, const ControlRequest& request)
{
    const auto now = m_loop.now();
    auto outcome = m_service.submit(request.submission, now, *this);
    if (outcome.kind != OutcomeKind::Unknown || m_waiting.size() >= maxWaitingSenders) {
        ControlReply answer;
        answer.number = request.number;
        answer.outcome = std::move(outcome);
        reply(sender, answer);
        return;
    }
    m_waiting.push_back({ sender, request.number, request.submission.id, now });
    // In a group with a single controller the submission is already committed.
    publishCommitted();
    answerWaitingSenders();
}

void ControllerRole::answerWaitingSenders()
{
    const auto now = m_loop.now();
    std::erase_if(m_waiting, [&](const WaitingSender& waiting) {
        ControlReply answer;
        answer.number = waiting.number;
        answer.outcome = m_service.outcomeOf(waiting.submission);
        if (!answer.outcome.isFinal() && now - waiting.receivedAt < decisionTimeout)
            return false;
        reply(waiting.sender, answer);
        return true;
    });
}

void ControllerRole::readNewest(core::NodeId sender, const ControlRequest& request)
{
    const auto now = m_loop.now();
    const auto ticket = m_service.beginRead(now, *this);
    if (!ticket || m_waitingReaders.size() >= maxWaitingSenders) {
        redirectReader(sender, request.number);
        return;
    }
    m_waitingReaders.push_back({ sender, request.number, *ticket, now });
    // In a group with a single controller the read is already confirmed.
    answerWaitingReaders();
}

void ControllerRole::redirectReader(core::NodeId sender, std::uint64_t number)
{
    ControlReply answer;
    answer.number = number;
    answer.outcome.kind = OutcomeKind::NotLeader;
    reply(sender, answer);
}

void ControllerRole::answerWaitingReaders()
{
    const auto now = m_loop.now();
    std::erase_if(m_waitingReaders, [&](const WaitingReader& waiting) {
        const auto state = m_service.readState(waiting.ticket);
        const bool isPending = state == configuration::ReadState::Pending;
        if (isPending && now - waiting.receivedAt < decisionTimeout)
            return false;
        if (state != configuration::ReadState::Ready) {
            redirectReader(waiting.sender, waiting.number);
            return true;
        }
        ControlReply answer;
        answer.number = waiting.number;
        answer.revisions.push_back(m_service.newestCommitted());
        reply(waiting.sender, answer);
        return true;
    });
}

void ControllerRole::publishCommitted()
{
    const auto& newest = m_service.newestCommitted();
    if (newest.revision <= m_publishedRevision)
        return;
    for (const auto& it : m_service.revisionsSince(m_publishedRevision))
        m_revisionHandler(it);
    m_publishedRevision = newest.revision;
}

std::vector<configuration::AcceptedRevision> ControllerRole::newestRevisions(std::size_t limit) const
{
    auto revisions = m_service.revisionsSince(0);
    std::ranges::reverse(revisions);
    if (revisions.size() > limit)
        revisions.resize(limit);
    for (auto& it : revisions)
        it.document.clear();
    return revisions;
}

void ControllerRole::send(core::NodeId peer, const configuration::RaftMessage& message)
{
    const auto body = adapters::encodeRaftMessage(message);
    m_network.sendStream(peer, adapters::Channel::Consensus, std::as_bytes(std::span(body)));
}

void ControllerRole::reply(core::NodeId peer, ControlReply answer)
{
    // Every reply holds the leader, so that daemons send their next request to it.
    answer.outcome.leader = m_service.status().leader;
    const auto body = adapters::encodeControlReply(answer);
    m_network.sendStream(peer, adapters::Channel::Stream, std::as_bytes(std::span(body)));
}

} // namespace ibisgwd
