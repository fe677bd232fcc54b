#include "ibisgw/sync/DirectorySubscriber.h"

#include "ibisgw/core/FlowKey.h"

#include <algorithm>
#include <tuple>

namespace ibisgw::sync {

namespace {

// A configuration that has not arrived after this time is requested from the next controller.
constexpr core::Duration configurationRequestTimeout = std::chrono::milliseconds(300);

// Time between a balancer's requests for the status of a controller that it does not follow. Shorter than contactLimit,
// so that such a controller counts as reachable.
constexpr core::Duration statusInterval = std::chrono::milliseconds(1500);

// A balancer does not follow a controller that leaves subscriptions unanswered for this long. Longer than the interval
// of subscriptions, so that a lost one is repeated first.
constexpr core::Duration unansweredLimit = std::chrono::milliseconds(600);

// When another controller has had changes for this long that have not arrived through the followed controller, a
// balancer requests the changes of both.
constexpr core::Duration missingChangesLimit = std::chrono::seconds(5);

// A controller that has sent no update for this long receives subscriptions at a longer interval.
constexpr core::Duration silenceLimit = std::chrono::seconds(10);
constexpr core::Duration silentInterval = std::chrono::seconds(1);

// For this time after a start, controllers that have not answered yet receive subscriptions at a short interval: they
// may be starting as well, and a balancer places no flow before one has answered.
constexpr core::Duration startupPeriod = std::chrono::seconds(3);
constexpr core::Duration firstContactInterval = std::chrono::milliseconds(50);

// When the next part of a directory has not arrived after this time, the transfer may go on from any controller.
constexpr core::Duration fillTimeout = std::chrono::milliseconds(200);

// A controller that has sent no update for this long may be partitioned from this one; the other controllers are then
// requested to relay its renewals.
constexpr core::Duration relayLimit = std::chrono::seconds(1);

bool isLeaving(const InstanceItem& item)
{
    return item.report.state != upstream::InstanceState::Ready;
}

} // namespace

DirectorySubscriber::DirectorySubscriber(
    SubscriberOptions options, upstream::InstanceDirectory& directory, DepartureWriter* departures)
    : m_options(std::move(options))
    , m_directory(directory)
    , m_departures(departures)
{
}

void DirectorySubscriber::tick(core::TimePoint now, SyncOutput& output)
{
    dropUnknownFeeds();
    for (const auto* nodes : { &m_options.seeds, &m_voters, &m_contacts }) {
        for (const auto& it : *nodes) {
            if (it != m_options.self)
                m_feeds.try_emplace(it);
        }
    }
    resumeFilling(now);
    chooseFollowed(now);
    for (auto& [node, feed] : m_feeds) {
        if (now >= feed.nextSubscription)
            subscribe(node, feed, now, output);
    }
}

void DirectorySubscriber::requestUpdates(core::TimePoint now)
{
    for (auto& [node, feed] : m_feeds)
        feed.nextSubscription = now;
}

// Ends a transfer whose next part is overdue, because it was lost or its controller has stopped. Subscribes at once to
// all controllers whose changes are incomplete here; the first that answers continues the transfer.
void DirectorySubscriber::resumeFilling(core::TimePoint now)
{
    if (!m_fillSource.isValid() || now - m_lastFillAt <= fillTimeout)
        return;
    m_fillSource = {};
    for (auto& [node, feed] : m_feeds) {
        if (feed.lastUpdateAt && !feed.isComplete && modeOf(node, feed, now) == FollowMode::Changes)
            feed.nextSubscription = now;
    }
}

bool DirectorySubscriber::isResponding(const Feed& feed, core::TimePoint now) const
{
    return feed.lastUpdateAt && (!feed.unansweredSince || now - *feed.unansweredSince <= unansweredLimit);
}

// Chooses the controller that a balancer follows, unless the present one still responds and is sending its directory.
// Controllers that are current come first, then those that know any upstreams, then those of the own zone: latency is
// lower and a partition between zones does not interrupt the updates. Rendezvous hashing spreads the balancers of a
// zone among its controllers.
void DirectorySubscriber::chooseFollowed(core::TimePoint now)
{
    if (m_options.isController)
        return;
    const auto current = m_feeds.find(m_followedController);
    const bool isFollowing = current != m_feeds.end() && isResponding(current->second, now);
    if (isFollowing && m_fillSource == m_followedController)
        return;
    const auto rank = [this](const auto& it) {
        const auto& [node, feed] = it;
        return std::tuple { feed.isCurrent, feed.hasUpstreams, feed.zone == m_options.zone,
            core::rendezvousWeight(m_options.process, node.value) };
    };
    auto best = m_feeds.end();
    for (auto it = m_feeds.begin(); it != m_feeds.end(); ++it) {
        if (isResponding(it->second, now) && (best == m_feeds.end() || rank(*it) > rank(*best)))
            best = it;
    }
    if (best == m_feeds.end() || best->first == m_followedController)
        return;
    m_followedController = best->first;
    best->second.nextSubscription = now;
}

FollowMode DirectorySubscriber::modeOf(core::NodeId node, const Feed& feed, core::TimePoint now) const
{
    const bool isMissingChanges = feed.missingChangesSince && now - *feed.missingChangesSince > missingChangesLimit;
    return m_options.isController || node == m_followedController || isMissingChanges ? FollowMode::Changes
                                                                                      : FollowMode::StatusOnly;
}

bool DirectorySubscriber::hasCompleteDirectory() const
{
    return std::ranges::any_of(m_feeds, [](const auto& it) { return it.second.isComplete; });
}

core::Duration DirectorySubscriber::intervalOf(core::NodeId node, const Feed& feed, core::TimePoint now)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (!feed.lastUpdateAt)
        return now - *m_startedAt < startupPeriod ? firstContactInterval : m_options.interval;
    if (modeOf(node, feed, now) == FollowMode::StatusOnly)
        return statusInterval;
    return now - *feed.lastUpdateAt > silenceLimit ? silentInterval : m_options.interval;
}

void DirectorySubscriber::subscribe(core::NodeId node, Feed& feed, core::TimePoint now, SyncOutput& output)
{
    feed.nextSubscription = now + intervalOf(node, feed, now);
    feed.unansweredSince = feed.unansweredSince.value_or(now);
    const auto mode = modeOf(node, feed, now);
    // A controller sends no digest: with an equal digest the feed would skip changes, but other controllers count on
    // the acknowledgement of each change.
    const bool needsDigest = !m_options.isController && (mode == FollowMode::StatusOnly || !feed.isComplete);
    const auto digest = needsDigest ? m_directory.digest() : 0;
    const auto directPeers
        = m_options.isController ? controllersInContact(now, relayLimit) : std::vector<core::NodeId> {};
    output.send(node,
        Subscription {
            m_options.process, m_options.isController, feed.feedId, feed.acknowledged, digest, directPeers, mode });
}

void DirectorySubscriber::handle(
    core::NodeId from, const DirectoryUpdate& update, core::TimePoint now, SyncOutput& output)
{
    // A controller that was not contacted from here announces its restart.
    if (!m_feeds.contains(from))
        addController(from);
    auto& feed = m_feeds[from];
    noteStatus(feed, update, now);
    adoptVoters(update.controllers, update.membershipIndex);
    adoptEvacuations(update);
    if (update.from > feed.acknowledged)
        return;
    const bool isDurable = keepDepartures(update, now);
    merge(from, update, now);
    // Departures that could not be stored take effect here, but are not acknowledged: the sender would count this
    // controller as one that holds them after a power failure.
    if (!isDurable)
        return;
    const bool isNew = update.to > feed.acknowledged;
    feed.acknowledged = std::max(feed.acknowledged, update.to);
    feed.isComplete = feed.hasUpstreams && !update.hasMore;
    feed.missingChangesSince = update.hasMore ? std::optional(feed.missingChangesSince.value_or(now)) : std::nullopt;
    if (!m_followedController.isValid())
        chooseFollowed(now);
    if (needsImmediateSubscription(from, feed, update, isNew, now))
        subscribe(from, feed, now, output);
}

void DirectorySubscriber::noteStatus(Feed& feed, const DirectoryUpdate& update, core::TimePoint now)
{
    feed.lastUpdateAt = now;
    feed.unansweredSince.reset();
    feed.version = update.version;
    feed.loggedVersion = update.loggedVersion;
    feed.loggedEvacuationRevision = update.loggedEvacuationRevision;
    feed.zone = update.zone;
    feed.isCurrent = update.isCurrent;
    feed.isVoter = update.isVoter;
    feed.hasUpstreams = update.to > 0 || update.hasMore;
    if (update.feed == feed.feedId)
        return;
    // The controller has restarted and its change numbers start over, so that all changes are requested again. An
    // update that follows on an earlier one cannot be used.
    feed.feedId = update.feed;
    feed.acknowledged = 0;
    feed.isComplete = false;
}

// True when the update must be acknowledged, or more changes requested, before the next regular subscription.
bool DirectorySubscriber::needsImmediateSubscription(
    core::NodeId from, const Feed& feed, const DirectoryUpdate& update, bool isNew, core::TimePoint now)
{
    if (modeOf(from, feed, now) == FollowMode::StatusOnly)
        return false;
    // chooseFollowed() has just made this subscription due.
    const bool isNewlyFollowed = feed.nextSubscription == now;
    // The sender waits for the acknowledgement before it answers an upstream that leaves.
    const bool isAwaited = m_options.isController && isNew && std::ranges::any_of(update.items, isLeaving);
    const bool isNextPart = m_options.isController ? update.hasMore : noteFillProgress(from, update.hasMore, now);
    return isNewlyFollowed || isAwaited || isNextPart;
}

// Tracks the transfer of a whole directory to a balancer. True when the next part is to be requested from `from`. One
// controller at a time sends its directory; the others have little to add afterwards, since they compare the digests.
bool DirectorySubscriber::noteFillProgress(core::NodeId from, bool hasMore, core::TimePoint now)
{
    if (!m_fillSource.isValid() && hasMore)
        m_fillSource = from;
    if (m_fillSource != from)
        return false;
    m_lastFillAt = now;
    if (!hasMore)
        m_fillSource = {};
    return hasMore;
}

// Stores the departures of the update, and returns true when all of them are durable. An acknowledgement promises that
// a power failure cannot undo them.
bool DirectorySubscriber::keepDepartures(const DirectoryUpdate& update, core::TimePoint now)
{
    if (!m_departures)
        return true;
    for (const auto& it : update.items) {
        const auto* known = m_directory.find(it.report.id);
        const bool isKnown
            = known && known->report.incarnation == it.report.incarnation && known->report.state == it.report.state;
        if (isLeaving(it) && !isKnown)
            m_departures->add(it.report);
    }
    m_departures->flush(now);
    return std::ranges::all_of(update.items, [this](const auto& it) { return m_departures->isDurable(it.report.id); });
}

void DirectorySubscriber::merge(core::NodeId from, const DirectoryUpdate& update, core::TimePoint now)
{
    for (const auto& it : update.items) {
        m_directory.apply(it.report, it.age, now, from);
        m_directory.setOverdue(it.report.id, it.report.incarnation, it.report.sequence, it.isOverdue, now);
    }
    for (const auto& it : update.marks) {
        if (!it.isOverdue)
            m_directory.renew(it.id, it.incarnation, it.sequence, now - it.age, from);
        m_directory.setOverdue(it.id, it.incarnation, it.sequence, it.isOverdue, now);
    }
    for (const auto& it : update.renewals)
        m_directory.renew(it.id, it.incarnation, it.sequence, now, from);
}

void DirectorySubscriber::adoptVoters(const std::vector<core::NodeId>& voters, std::uint64_t membershipIndex)
{
    if (membershipIndex < m_membershipIndex || voters.empty())
        return;
    m_membershipIndex = membershipIndex;
    m_voters = voters;
}

void DirectorySubscriber::adoptEvacuations(const DirectoryUpdate& update)
{
    if (update.evacuations.revision > m_evacuations.revision)
        m_evacuations = update.evacuations;
}

void DirectorySubscriber::addController(core::NodeId node)
{
    constexpr std::size_t maxContacts = 16;
    if (std::ranges::find(m_contacts, node) != m_contacts.end())
        return;
    if (m_contacts.size() >= maxContacts)
        m_contacts.erase(m_contacts.begin());
    m_contacts.push_back(node);
}

void DirectorySubscriber::dropUnknownFeeds()
{
    std::erase_if(m_feeds, [this](const auto& it) {
        const auto isListedIn = [&it](const std::vector<core::NodeId>& nodes) {
            return std::ranges::find(nodes, it.first) != nodes.end();
        };
        return !isListedIn(m_options.seeds) && !isListedIn(m_voters) && !isListedIn(m_contacts);
    });
}

void DirectorySubscriber::fetchConfiguration(direct::ConfigurationVersion held, core::TimePoint now, SyncOutput& output)
{
    if (now < m_nextConfigurationRequest)
        return;
    std::vector<core::NodeId> holders;
    for (const auto& [node, feed] : m_feeds) {
        if (feed.version > held)
            holders.push_back(node);
    }
    if (holders.empty())
        return;
    // Each daemon requests from the controllers in an order of its own: all are notified of a configuration at the same
    // moment, and one controller could not send it to a large fleet in time.
    std::ranges::sort(holders, std::ranges::greater {},
        [this](core::NodeId it) { return core::rendezvousWeight(m_options.process, it.value); });
    const auto last = std::ranges::find(holders, m_lastRequested);
    m_lastRequested = last == holders.end() || std::next(last) == holders.end() ? holders.front() : *std::next(last);
    m_nextConfigurationRequest = now + configurationRequestTimeout;
    output.send(m_lastRequested, ConfigurationRequest { held });
}

ConfigurationCheck DirectorySubscriber::checkConfiguration(
    direct::ConfigurationVersion heldVersion, std::uint64_t heldEvacuationRevision, core::TimePoint now) const
{
    const auto& voters = m_voters.empty() ? m_options.seeds : m_voters;
    std::size_t inContact = 0;
    std::size_t confirming = 0;
    for (const auto& it : voters) {
        const auto found = m_feeds.find(it);
        if (found == m_feeds.end() || !isInContact(found->second, now, contactLimit))
            continue;
        ++inContact;
        const auto& feed = found->second;
        if (feed.isVoter && feed.loggedVersion <= heldVersion
            && feed.loggedEvacuationRevision <= heldEvacuationRevision)
            ++confirming;
    }
    const auto majority = voters.size() / 2 + 1;
    if (inContact < majority)
        return ConfigurationCheck::Isolated;
    return confirming < majority ? ConfigurationCheck::Unconfirmed : ConfigurationCheck::Confirmed;
}

bool DirectorySubscriber::isInContact(const Feed& feed, core::TimePoint now, core::Duration limit)
{
    return feed.lastUpdateAt && now - *feed.lastUpdateAt <= limit;
}

std::vector<core::NodeId> DirectorySubscriber::controllersInContact(core::TimePoint now, core::Duration limit) const
{
    std::vector<core::NodeId> nodes;
    for (const auto& [node, feed] : m_feeds) {
        if (isInContact(feed, now, limit))
            nodes.push_back(node);
    }
    return nodes;
}

std::vector<core::NodeId> DirectorySubscriber::currentControllersIn(
    const core::ZoneName& zone, core::TimePoint now) const
{
    std::vector<core::NodeId> nodes;
    for (const auto& [node, feed] : m_feeds) {
        if (feed.isCurrent && feed.zone == zone && isResponding(feed, now))
            nodes.push_back(node);
    }
    return nodes;
}

std::size_t DirectorySubscriber::reachableAmong(std::span<const core::NodeId> controllers, core::TimePoint now) const
{
    const auto inContact = controllersInContact(now, contactLimit);
    return static_cast<std::size_t>(std::ranges::count_if(
        controllers, [&](core::NodeId it) { return std::ranges::find(inContact, it) != inContact.end(); }));
}

std::size_t DirectorySubscriber::reachableControllers(core::TimePoint now) const
{
    return controllersInContact(now, contactLimit).size();
}

} // namespace ibisgw::sync
