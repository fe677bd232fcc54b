#include "ibisgw/membership/MembershipNode.h"

#include "ibisgw/membership/JoinReply.h"
#include "ibisgw/membership/PeerSelection.h"

#include <algorithm>

namespace ibisgw::membership {

namespace {

constexpr core::Duration rumorInterval = std::chrono::milliseconds(200);
constexpr std::size_t rumorFanout = 3;
// Entries take about 75 bytes each.
constexpr std::size_t maxRumorsPerMessage = 5;
constexpr std::size_t maxRumorMessageBytes = 500;
constexpr std::size_t maxPiggybackedRumors = 2;
// When more rumors than this are queued, as at the start of a zone, each is sent fewer times. Join replies then deliver
// the entries that do not arrive as rumors.
constexpr std::size_t manyRumorsThreshold = 16;
constexpr std::size_t sendLimitWhenManyRumors = 3;
// For this time after a change of its own entry, a daemon adds the entry to its probes, so that the change does not
// spread by rumors alone.
constexpr core::Duration selfEntryDuration = std::chrono::seconds(3);
// Shortest time between two requests for the entry of an unknown sender.
constexpr core::Duration entryRequestInterval = std::chrono::milliseconds(500);
// Acks that arrive later than this after a ping request are not forwarded to the requester.
constexpr core::Duration relayedProbeDuration = std::chrono::seconds(2);
// Dead members are removed from the table after this time. All peers have received the update by then, so that no old
// rumor adds the member again.
constexpr core::Duration deadMemberDuration = std::chrono::minutes(10);
// Number of peers to which the daemon that publishes a revision sends it, unless the group is small and it sends to
// all, and number of peers to which each daemon forwards it.
constexpr std::size_t revisionFanoutOfOrigin = 4;
constexpr std::size_t revisionFanout = 2;

} // namespace

class MembershipNode::Context final : public MessageSink, public FailureDetector::Actions {
public:
    Context(MembershipNode& node, core::TimePoint now, GossipOutput& output)
        : m_node(node)
        , m_now(now)
        , m_output(output)
    {
    }

    void post(Priority priority, core::NodeId to, GossipMessage message) override
    {
        auto& node = m_node;
        const auto& self = node.m_settings.self;
        message.incarnation = self.incarnation;
        message.isIsolated = node.m_isIsolated;
        message.head = node.m_revisions.head();
        message.flowEpoch = node.m_flowRecords.epoch();
        message.flowSequence = node.m_flowRecords.newestSequence();
        const bool isProbe = message.type == MessageType::Ping || message.type == MessageType::Ack;
        // When the budget is short, probes are sent without rumors: failure detection has precedence.
        if (isProbe && node.m_budget.room(Priority::Configuration, m_now) >= maxRumorMessageBytes) {
            const auto rumors = node.m_rumors.take(maxPiggybackedRumors, 1, node.rumorLimit());
            message.members.insert(message.members.end(), rumors.begin(), rumors.end());
            if (m_now - node.m_selfChangedAt < selfEntryDuration)
                message.members.push_back(self);
            const auto* summary = message.type == MessageType::Ping ? node.m_zones.takeNext() : nullptr;
            if (summary)
                message.zones.push_back(*summary);
        }
        trimToDatagram(message);
        node.m_outbox.send(priority, to, std::move(message), m_now, m_output);
    }

    std::size_t queuedCount(Priority priority) const override { return m_node.m_outbox.queuedCount(priority); }

    void sendPing(core::NodeId target, std::uint64_t probe) override
    {
        GossipMessage message { .type = MessageType::Ping, .probe = probe };
        // The ping carries the suspicion, so that the suspect can refute it in the ack.
        const auto* record = m_node.m_members.find(target);
        if (record && record->member.state == MemberState::Suspect)
            message.members.push_back(record->member);
        post(Priority::Membership, target, std::move(message));
    }

    void sendPingRequest(core::NodeId helper, core::NodeId target, std::uint64_t probe) override
    {
        post(Priority::Membership, helper, { .type = MessageType::PingRequest, .probe = probe, .subject = target });
    }

    void suspect(core::NodeId id) override
    {
        if (const auto* record = m_node.m_members.find(id)) {
            auto member = record->member;
            member.state = MemberState::Suspect;
            member.suspectedBy = m_node.m_settings.self.id;
            m_node.applyUpdate(member, m_now);
        }
    }

    void declareDead(core::NodeId id) override
    {
        if (const auto* record = m_node.m_members.find(id)) {
            auto member = record->member;
            member.state = MemberState::Dead;
            member.suspectedBy = {};
            m_node.applyUpdate(member, m_now);
        }
    }

private:
    MembershipNode& m_node;
    core::TimePoint m_now;
    GossipOutput& m_output;
};

MembershipNode::MembershipNode(MembershipSettings settings, core::RandomSource& random, MembershipEvents& events)
    : m_settings(std::move(settings))
    , m_random(random)
    , m_events(events)
    , m_budget(m_settings.controlBytesPerSecond, m_settings.rules.reserveBudgetForMembership)
    , m_outbox(m_budget)
    , m_detector(m_members, random)
    , m_join(m_settings.self.id, m_settings.seeds, random)
    , m_announcements(random)
    , m_flowRecords(m_settings.self.id, m_settings.self.incarnation, random)
    , m_revisions(random)
    , m_zones(m_settings.self, m_members, random)
{
}

void MembershipNode::handleMessage(
    core::NodeId from, const GossipMessage& message, core::TimePoint now, GossipOutput& output)
{
    if (from == m_settings.self.id)
        return;
    detectPause(now);
    Context context(*this, now, output);
    m_lastReceivedAt = now;
    updateIsolation(now);
    if (!message.isIsolated)
        m_members.noteMessage(from, message.head.revision, now);
    for (const auto& it : message.members)
        applyUpdate(it, now);
    m_zones.handle(message, now);
    requestSenderEntry(from, message, now, context);
    handleByType(from, message, now, context);
    m_announcements.handle(from, message, m_budget.room(Priority::Load, now), now, context, m_events);
    m_flowRecords.handle(from, message, now, context, m_events);
    if (m_revisions.handle(from, message, now, context)) {
        m_events.revisionInForce(m_revisions.applier().inForce());
        spreadRevision(false, context);
    }
    updateGroup();
}

void MembershipNode::tick(core::TimePoint now, GossipOutput& output)
{
    if (!m_lastTickAt) {
        m_lastReceivedAt = now;
        m_detector.reset(now);
    }
    detectPause(now);
    m_lastTickAt = now;
    Context context(*this, now, output);
    updateIsolation(now);
    m_outbox.flush(now, output);
    for (const auto& it : m_join.takeDueRequests(m_members, now)) {
        GossipMessage message { .type = MessageType::Join, .probe = 1, .subject = it.cursor };
        message.members.push_back(m_settings.self);
        context.post(Priority::Membership, it.target, std::move(message));
    }
    m_detector.tick(now, m_isIsolated && m_settings.rules.keepViewInIsolation, context);
    spreadRumors(now, context);
    m_zones.tick(m_revisions.head(), now, context);
    m_revisions.tick(now, context);
    const auto peers = m_members.reachable();
    m_flowRecords.tick(peers, m_budget.room(Priority::FlowRecords, now), now, context);
    m_announcements.tick(peers, m_budget.room(Priority::Load, now), now, context);
    if (!m_isIsolated)
        m_announcements.removeExpired(now);
    std::erase_if(m_relayedProbes, [now](const auto& it) { return it.second.until < now; });
    std::vector<core::NodeId> removed;
    for (const auto& [id, record] : m_members.records()) {
        if (record.member.state == MemberState::Dead && now - record.changedAt > deadMemberDuration)
            removed.push_back(id);
    }
    for (const auto& it : removed)
        m_members.remove(it);
    updateSynchronized(now);
    updateGroup();
}

void MembershipNode::publish(const upstream::Announcement& announcement, core::TimePoint now)
{
    m_announcements.publish(announcement, now);
}

void MembershipNode::publish(std::vector<std::uint8_t> flowRecord, core::TimePoint now)
{
    m_flowRecords.publish(std::move(flowRecord), now);
}

bool MembershipNode::publishRevision(
    const configuration::AcceptedRevision& revision, core::TimePoint now, GossipOutput& output)
{
    if (!m_revisions.publish(revision))
        return false;
    Context context(*this, now, output);
    m_events.revisionInForce(m_revisions.applier().inForce());
    spreadRevision(true, context);
    return true;
}

void MembershipNode::leave(core::TimePoint now)
{
    m_settings.self.state = MemberState::Leaving;
    updateSelf(now);
    updateGroup();
}

RevisionCount MembershipNode::countInForce(core::Revision revision) const
{
    return m_zones.countInForce(revision, revisionInForce().revision);
}

void MembershipNode::detectPause(core::TimePoint now)
{
    if (!m_lastTickAt || now - *m_lastTickAt <= pauseLimit || !m_settings.rules.rejoinAfterPause)
        return;
    const auto gap = now - *m_lastTickAt;
    m_lastTickAt = now;
    m_lastReceivedAt = now;
    m_settings.self.isSynchronized = false;
    m_members.restartTimers(now);
    m_detector.reset(now);
    m_join.restart(now);
    updateSelf(now);
    m_events.pauseDetected(gap);
    updateGroup();
}

void MembershipNode::updateIsolation(core::TimePoint now)
{
    const bool isIsolated = m_members.reachableCount() > 0 && now - m_lastReceivedAt > isolationLimit;
    // Suspicion timeouts start over once messages arrive again: members could not refute during the isolation.
    if (m_isIsolated && !isIsolated)
        m_members.restartTimers(now);
    m_isIsolated = isIsolated;
}

void MembershipNode::updateSynchronized(core::TimePoint now)
{
    auto& self = m_settings.self;
    if (self.isSynchronized || !m_join.isJoined())
        return;
    if (m_settings.rules.waitForNewestRevision) {
        auto newest = m_revisions.newestKnown();
        for (const auto& [id, record] : m_members.records()) {
            if (record.member.state != MemberState::Dead)
                newest = std::max(newest, record.member.revision);
        }
        if (revisionInForce().revision < newest || m_flowRecords.table().hasGaps())
            return;
    }
    self.isSynchronized = true;
    updateSelf(now);
}

void MembershipNode::updateGroup()
{
    const auto& self = m_settings.self;
    std::vector<core::NodeId> balancers;
    const auto consider = [&](const Member& member) {
        if (member.group == self.group && member.isBalancer() && member.isSynchronized
            && member.state < MemberState::Leaving)
            balancers.push_back(member.id);
    };
    consider(self);
    for (const auto& [id, record] : m_members.records())
        consider(record.member);
    std::sort(balancers.begin(), balancers.end());
    if (balancers == m_groupBalancers)
        return;
    m_groupBalancers = std::move(balancers);
    m_events.groupChanged();
}

void MembershipNode::updateSelf(core::TimePoint now)
{
    auto& self = m_settings.self;
    ++self.incarnation;
    self.revision = revisionInForce().revision;
    m_selfChangedAt = now;
    m_rumors.add(self.id, self);
}

void MembershipNode::applyUpdate(const Member& update, core::TimePoint now)
{
    if (update.id == m_settings.self.id) {
        refute(update, now);
        return;
    }
    const bool isKnown = m_members.find(update.id) != nullptr;
    if (!update.sharesScopeWith(m_settings.self) || (!isKnown && update.state == MemberState::Dead))
        return;
    if (m_members.apply(update, now) == MemberTable::Change::None)
        return;
    m_rumors.add(update.id, update);
    if (update.state == MemberState::Dead)
        m_revisions.forgetPeer(update.id);
}

// Refutes a suspicion of this daemon, or an entry from before its restart, by an entry with a higher incarnation.
void MembershipNode::refute(const Member& update, core::TimePoint now)
{
    auto& self = m_settings.self;
    if (!m_settings.rules.refuteSuspicions || update.incarnation < self.incarnation || update == self
        || (update.incarnation == self.incarnation && update.state <= self.state))
        return;
    if (update.state == MemberState::Suspect)
        m_detector.degradeLocalHealth();
    self.incarnation = update.incarnation;
    updateSelf(now);
}

// Sends a join to a sender that is unknown, held as dead or announced by an older entry, to receive its current entry.
void MembershipNode::requestSenderEntry(
    core::NodeId from, const GossipMessage& message, core::TimePoint now, Context& context)
{
    if (now < m_nextEntryRequestAt || message.type == MessageType::Join || message.type == MessageType::JoinReply)
        return;
    const auto* record = m_members.find(from);
    const bool isDead = record && record->member.state == MemberState::Dead;
    if (record && !isDead && message.incarnation <= record->member.incarnation)
        return;
    m_nextEntryRequestAt = now + entryRequestInterval;
    // The reply to a join carries the current entry of the sender. When the sender is held as dead here, the request
    // carries that entry, which the sender refutes.
    GossipMessage request { .type = MessageType::Join, .subject = maxNodeId };
    request.members.push_back(m_settings.self);
    if (isDead)
        request.members.push_back(record->member);
    context.post(Priority::Membership, from, std::move(request));
}

void MembershipNode::handleByType(
    core::NodeId from, const GossipMessage& message, core::TimePoint now, Context& context)
{
    switch (message.type) {
    case MessageType::Ping:
        context.post(Priority::Membership, from, { .type = MessageType::Ack, .probe = message.probe });
        break;
    case MessageType::Ack:
        if (const auto relayed = m_relayedProbes.extract(message.probe)) {
            const auto& probe = relayed.mapped();
            context.post(Priority::Membership, probe.requester,
                { .type = MessageType::Ack, .probe = probe.number, .subject = from });
        } else {
            m_detector.noteAck(message.probe);
        }
        break;
    case MessageType::PingRequest: {
        const auto number = m_detector.nextProbeNumber();
        m_relayedProbes[number] = { from, message.probe, now + relayedProbeDuration };
        context.sendPing(message.subject, number);
        break;
    }
    case MessageType::Join:
        replyToJoin(from, message, context);
        break;
    case MessageType::JoinReply:
        if (!message.members.empty() && !message.members.front().sharesScopeWith(m_settings.self))
            m_join.noteOutOfScope(from);
        if (message.probe != 0)
            m_join.noteReply(message.subject, now);
        break;
    case MessageType::Gossip:
        break;
    }
}

void MembershipNode::replyToJoin(core::NodeId from, const GossipMessage& message, Context& context)
{
    auto reply = makeJoinReply(from, message, m_settings.self, m_members, m_flowRecords.table());
    // Member lists have a lower priority than configuration and probes, which they would delay when a zone starts.
    context.post(Priority::FlowRecords, from, std::move(reply));
    GossipMessage summaries;
    summaries.zones = m_zones.all();
    if (!message.subject.isValid() && !summaries.zones.empty()) {
        context.post(Priority::FlowRecords, from, std::move(summaries));
    }
}

std::size_t MembershipNode::rumorLimit() const
{
    return m_rumors.size() > manyRumorsThreshold ? sendLimitWhenManyRumors : rumorSendLimit(m_members.reachableCount());
}

void MembershipNode::spreadRumors(core::TimePoint now, Context& context)
{
    // Rumors leave a part of the budget to probes. When many members change at once, probes that wait behind rumors
    // would time out and cause suspicions, which spread as more rumors.
    if (m_rumors.isEmpty() || now < m_nextRumorAt
        || m_budget.room(Priority::Configuration, now) < rumorFanout * maxRumorMessageBytes)
        return;
    m_nextRumorAt = now + rumorInterval;
    const auto targets = choosePeers(m_members.reachable(), rumorFanout, m_random);
    if (targets.empty())
        return;
    GossipMessage message;
    message.members = m_rumors.take(maxRumorsPerMessage, targets.size(), rumorLimit());
    for (const auto& it : targets)
        context.post(Priority::Membership, it, message);
}

void MembershipNode::spreadRevision(bool isOrigin, Context& context)
{
    GossipMessage message;
    if (auto delta = m_revisions.newestDelta())
        message.deltas.push_back(std::move(*delta));
    auto targets = m_members.reachable();
    if (!isOrigin)
        targets = choosePeers(std::move(targets), revisionFanout, m_random);
    else if (targets.size() >= smallGroupSize)
        targets = choosePeers(std::move(targets), revisionFanoutOfOrigin, m_random);
    for (const auto& it : m_zones.chooseRemoteDelegates()) {
        if (!m_members.find(it))
            targets.push_back(it);
    }
    for (const auto& it : targets)
        context.post(Priority::Configuration, it, message);
}

} // namespace ibisgw::membership
